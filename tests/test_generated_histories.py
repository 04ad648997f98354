"""Generated sequences of faults, checked against the model of the rules in tests/world/rules.py."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.world.day import day
from tests.world.random_faults import FAULT_NAMES, HISTORY_SETTINGS, inject_fault, restore
from tests.world.specs import job
from tests.world.world import World


@settings(HISTORY_SETTINGS, max_examples=40)
@given(
    st.integers(0, 10_000),
    st.lists(st.tuples(st.sampled_from(FAULT_NAMES), st.floats(0.5, 15.0)), min_size=2, max_size=7),
)
def test_rules_hold_under_random_faults(world_seed: int, faults: list[tuple[str, float]]) -> None:
    async def script(world: World) -> None:
        ids = []
        for index in range(8):
            spec = job(
                index,
                crew="red" if index % 3 else "blue",
                urgency=world.rng.choice(["high", "normal", "best_effort"]),
                pieces=world.rng.randint(1, 9),
                cpus=world.rng.choice([1.0, 2.0]),
                true_s=world.rng.uniform(2, 30),
                one_zone=index == 3,
                scatter=index == 4,
                loaners=index != 5,
                builds=["large"] if index == 6 else None,
                snapshot_every_s=5.0 if index % 2 else 0.0,
                snapshot_s=1.0 if index % 2 else 0.0,
            )
            if await world.submit(spec):
                ids.append(spec["name_id"])
        for kind, pause in faults:
            await inject_fault(world, kind, ids)
            await asyncio.sleep(pause)
            for job_id in ids:
                await world.poll(job_id)
        restore(world)
        states = await world.wait_until_finished(ids, 400)
        assert all(state in ("done", "cancelled") for state in states.values()), states

    day(script, seed=world_seed)
