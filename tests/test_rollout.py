"""Rolling upgrades under load, after which the limits of the state service are lowered.

A node in `world.earlier_nodes` stands for the earlier version: its settings do not announce the lower limits
(`facts.state.next`), it writes pages as large as the present ones allow, and no services are submitted while it
runs. Whether it can read the records of the newer version is checked by tests/test_versions.py.
"""

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.store.pages import PAGE_PREFIX, RecordPages, page_capacity
from tests.world.day import day
from tests.world.random_faults import FAULT_NAMES, HISTORY_SETTINGS
from tests.world.settings import NEXT_LIMITS, NODES
from tests.world.specs import daemon, job
from tests.world.stored import stored_pages, stored_records
from tests.world.upgrades import configure_earlier_version, lower_store_limits, run_upgrade, upgrade
from tests.world.world import World, start

EXTRA_MACHINE_TYPES = 12


def page_sizes(world: World) -> list[int]:
    return [
        len(json.dumps(value, separators=(",", ":")))
        for key, (value, _, _) in world.store.items.items()
        if key.startswith(PAGE_PREFIX)
    ]


def records(world: World) -> dict[str, Any]:
    return stored_records(world.store)


@settings(HISTORY_SETTINGS, max_examples=25)
@given(
    st.integers(0, 10_000),
    st.permutations(NODES),
    st.lists(st.tuples(st.sampled_from(FAULT_NAMES), st.floats(0.5, 12.0)), min_size=6, max_size=9),
    st.floats(0.0, 40.0),
)
def test_rules_hold_through_an_upgrade_and_lowered_limits(
    seed: int, order: list[str], faults: list[tuple[str, float]], limits_lowered_after_s: float
) -> None:
    run_upgrade(seed, order, faults, limits_lowered_after_s, configure_earlier_version)


def test_an_upgrade_disturbs_users_no_more_than_a_rolling_restart() -> None:
    """Check that the upgrade restarts no task and that requests are answered within seconds."""

    async def script(world: World) -> None:
        ids = []
        for number in range(6):
            assert await world.submit(job(number, true_s=60.0, expected_s=60.0, pieces=3))
            ids.append(f"run-{number:06d}")
        await asyncio.sleep(10)
        # The leader goes first, and twice: before its upgrade it restarts with the earlier version.
        leader = world.leader
        assert leader is not None
        node = leader.node
        world.kill(node)
        world.loop.call_later(1, start, world, node)
        await asyncio.sleep(8)
        order = [node] + [other for other in world.nodes if other != node]
        await upgrade(world, order, 12.0)
        lower_store_limits(world)
        for number in range(20, 22):
            assert await world.submit(daemon(number), 10)
        states = await world.wait_until_finished(ids, 120)
        assert set(states.values()) == {"done"}

    world = day(script, machines=10, before=configure_earlier_version)
    assert max(world.rules.starts.values()) == 1


def test_records_in_oversized_pages_are_moved_to_smaller_ones() -> None:
    async def script(world: World) -> None:
        for number in range(120):
            assert await world.submit(job(number, pieces=2, true_s=2.0, expected_s=2.0))
        assert max(page_sizes(world)) > NEXT_LIMITS["value_kb"] * 1024
        await world.wait_until_finished([f"run-{number:06d}" for number in range(120)], 300)
        before = {key: value for key, value in records(world).items() if key.startswith("j/")}
        await upgrade(world, list(world.nodes), 10.0)
        lower_store_limits(world)
        # Each write also moves records out of some of the oversized pages.
        for number in range(200, 300):
            assert await world.submit(job(number, pieces=2, true_s=2.0, expected_s=2.0))
        await world.wait_until_finished([f"run-{number:06d}" for number in range(200, 300)], 300)
        # Oversized pages may remain until they are overwritten, but hold no current record.
        pages = RecordPages(page_capacity(NEXT_LIMITS["value_kb"]))
        pages.load(stored_pages(world.store))
        assert not pages._oversized
        after = records(world)
        assert {key: after[key] for key in before} == before

    day(script, before=configure_earlier_version, controllers=2)


def test_records_above_the_size_limit_stay_readable_and_their_jobs_can_be_cancelled() -> None:
    names = [f"type-{number:04d}-of-some-length" for number in range(99)]

    async def script(world: World) -> None:
        # A list of machine types that takes 3 KB, and tasks so small that more than a hundred fit on a machine.
        large_spec = job(1, builds=["large", *names], pieces=2, true_s=200.0, expected_s=200.0)
        assert await world.submit(large_spec)
        assert await world.submit(job(2, pieces=320, cpus=0.1, ram_gb=0.05, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(12)
        most_tasks = max(
            len([task for name, task in world.rules.running if name == machine]) for machine in world.workers
        )
        assert most_tasks > 100
        await upgrade(world, list(world.nodes), 6.0)
        lower_store_limits(world)
        await asyncio.sleep(3)
        assert await world.submit(job(3, pieces=150, cpus=0.1, ram_gb=0.05, true_s=10.0, expected_s=10.0))
        # A job that could never be stored is rejected at once, not accepted and lost.
        answer = await world.ask("POST", "/submissions", large_spec | {"name_id": "run-000004"})
        assert answer.status == 422 and "larger" in answer.body["error"]
        assert await world.poll("run-000001") == "running"
        assert await world.withdraw("run-000001", 5) == "cancelled"
        states = await world.wait_until_finished(["run-000002", "run-000003"], 300)
        assert set(states.values()) == {"done"}
        world.kill(world.leader.node)  # type: ignore[union-attr]
        await asyncio.sleep(6)
        assert await world.poll("run-000001") == "cancelled"

    world = day(script, before=configure_earlier_version)
    # The new leader loaded all assignments and done marks: no task ran again.
    assert max(world.rules.starts.values()) == 1


def test_machine_is_filled_as_far_as_the_actual_size_of_its_record_allows() -> None:
    """Guard against estimating a record by its longest names and numbers: at 2 KiB, large machines stay half empty."""

    async def script(world: World) -> None:
        world.rent("large", "east")
        await asyncio.sleep(5)
        assert await world.submit(job(1, pieces=90, cpus=0.17, ram_gb=0.1, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(10)
        assert max(len(worker.tasks) for worker in world.workers.values()) >= 80
        assert (await world.wait_until_finished(["run-000001"], 120)) == {"run-000001": "done"}

    def before(world: World) -> None:
        world.limits = dict(NEXT_LIMITS)
        lower_store_limits(world)
        world.cloud.capacity = {}

    day(script, machines=0, before=before)


def test_machine_types_above_the_size_limit_are_stored_in_parts() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1))
        await asyncio.sleep(5)
        stored = records(world)
        assert (
            "t/types" not in stored and len([key for key in stored if key.startswith("y/")]) == EXTRA_MACHINE_TYPES + 2
        )
        # A new leader loads them from the store alone.
        world.cloud.down = True
        world.kill(world.leader.node)  # type: ignore[union-attr]
        await asyncio.sleep(6)
        assert await world.submit(job(2, pieces=1), 5)
        assert world.leader is not None and world.leader.leader is not None
        assert len(world.leader.leader.catalog.types) == EXTRA_MACHINE_TYPES + 2
        world.cloud.down = False

    def before(world: World) -> None:
        world.limits = dict(NEXT_LIMITS)
        lower_store_limits(world)
        world.cloud.types = [*world.cloud.types] + [
            world.cloud.types[0] | {"name": f"small-{number}"} for number in range(EXTRA_MACHINE_TYPES)
        ]

    day(script, before=before)


@pytest.mark.parametrize("machines", [300])
def test_store_load_at_the_lower_limits_and_full_size(machines: int) -> None:
    """Bound the number of pages, load time, write backlog and response time, with the limits enforced throughout."""

    async def script(world: World) -> None:
        latencies_s = []
        ids = []
        for number in range(40):
            submitted_at = world.loop.now
            assert await world.submit(job(number, pieces=60, true_s=12.0, expected_s=12.0, kit=f"img-{number % 5}"))
            latencies_s.append(world.loop.now - submitted_at)
            ids.append(f"run-{number:06d}")
            await asyncio.sleep(1.0)
        assert sorted(latencies_s)[len(latencies_s) * 9 // 10] < 0.5, latencies_s
        leader = world.leader
        assert leader is not None and leader.leader is not None
        # No write has been pending for long.
        pending_since = [write.waiting_since.total_seconds() for write in leader.leader.writer.queue.pending.values()]
        now = leader.clock().total_seconds()
        assert not pending_since or now - min(pending_since) < 8
        assert len(page_sizes(world)) < 250
        world.kill(leader.node)
        killed_at = world.loop.now
        while world.leader is None or world.leader.leader is None or not world.leader.leader.loaded:
            await asyncio.sleep(0.1)
        assert world.loop.now - killed_at < 6
        states = await world.wait_until_finished(ids, 300)
        assert set(states.values()) == {"done"}

    def before(world: World) -> None:
        world.limits = dict(NEXT_LIMITS)
        lower_store_limits(world)

    world = day(script, machines=machines, each=machines, before=before)
    assert world.store.rate_limited <= 2
    assert sum(world.rules.starts.values()) < 1.02 * len(world.rules.starts)
