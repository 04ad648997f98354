"""Combinations of faults: those that the operators name, and random pairs and triples.

Checked against the rules of the protocol as users and machines see them (tests/world/rules.py).
`docs/meetings.md` lists the code that handles each combination.
"""

import asyncio
import random
import sys
from collections.abc import Sequence

import pytest

from tests.world.day import day
from tests.world.meetings import FAULT_SCRIPTS, check_continuously
from tests.world.random_faults import restore
from tests.world.scenario import Scenario
from tests.world.world import World

# By combination, its faults and the seconds after which each begins.
FAULT_COMBINATIONS: dict[str, list[tuple[str, float]]] = {
    "a report is held back until a new leader has acted": [("kept_for_the_next", 0), ("cancel_now", 3)],
    "one-task jobs come by the second, a quarter cancelled": [("stream", 0)],
    "the same, and the leader ends": [("stream", 0), ("leader_ends", 8), ("leader_stands_still", 16)],
    "a zone with workers and a controller is cut off": [("zone_cut", 0), ("cancel_now", 3), ("leader_ends", 9)],
    "teams at their limit, cancelled on machines out of reach, a new leader": [
        ("cancel_and_hang", 0),
        ("leader_ends", 0.5),
        ("cancel_and_hang", 15),
        ("leader_stands_still", 16),
    ],
    "a leader without store and peers, but workers and users": [("leader_apart", 0), ("close_looks", 1)],
    "commands and answers are held up, machines hang": [("held_up", 0), ("machines_hang", 2), ("cancel_now", 4)],
    "cancelled while work changes hands": [
        ("cancel_now", 0),
        ("leader_ends", 0.1),
        ("cancel_now", 2.2),
        ("cancel_now", 3),
        ("leader_ends", 3.1),
    ],
    "carried out, only the answer lost, while others read": [
        ("answers_lost", 0),
        ("close_looks", 0),
        ("leader_ends", 5),
        ("cancel_at_end", 7),
        ("leader_ends", 14),
    ],
    "the store is slow, refuses the leader alone, then everybody": [("slow_store", 0), ("refused_then_down", 8)],
    "more work than room over slow links": [("overload", 0), ("cancel_now", 10)],
    "machines are up at once while writes lag and the leader ends": [("quick_machines", 0)],
    "a leader ends while machines are out of reach": [("machines_mute", 0), ("leader_ends", 1)],
    "a leader ends while machines don't hear": [("machines_deaf", 0), ("leader_ends", 1), ("cancel_now", 4)],
    "users look at all nodes within milliseconds": [("close_looks", 0), ("cancel_at_end", 2), ("leader_ends", 6)],
    "called off as the last task ends": [("cancel_at_end", 0)],
    "leaders change ten times in two minutes": [("leaders_change", 0), ("cancel_now", 20), ("close_looks", 40)],
    "all controllers are away for longer than a lease": [("all_end", 0), ("cancel_now", 3)],
    "old reports after newer ones, of earlier sessions too": [("late_reports", 0), ("machines_reborn", 4)],
    "old reports reach every controller as a new leader begins": [
        ("kept_for_the_next", 0),
        ("machines_reborn", 2),
        ("kept_for_the_next", 20),
    ],
    "jobs bound to a zone lose machines": [("machines_die", 0), ("leader_ends", 6), ("machines_die", 12)],
    "ends far apart across changes of leader": [("leader_ends", 0), ("leader_ends", 20), ("leader_ends", 40)],
    "cancelled as the leader is refused, and a second later all are": [("refused_then_down", 0)],
    "late transactions after newer ones": [
        ("late_writes", 0),
        ("stream", 0),
        ("cancel_now", 4),
        ("leader_ends", 9),
        ("leader_ends", 24),
        ("leader_ends", 34),
    ],
    "handed over and back, all end, one is back": [
        ("leader_ends", 0),
        ("leader_ends", 4),
        ("all_end", 8),
        ("leader_ends", 12),
    ],
    "workers reach no controller": [("machines_mute", 0), ("cancel_now", 1), ("leader_stands_still", 2)],
    "odd requests": [("odd_requests", 0), ("leader_ends", 5)],
}


def play(
    faults: Sequence[tuple[str, float]], seed: int, controllers: int = 3, repeated_response_share: float = 0.0
) -> World:
    """Inject the faults, then remove them: every accepted job must end, and no rule may be broken."""

    async def script(world: World) -> None:
        world.repeated_response_share = repeated_response_share
        scenario = Scenario(world)
        watcher = world.loop.create_task(check_continuously(world))
        await scenario.submit_initial_jobs()
        await asyncio.sleep(6)
        started_at = world.loop.now

        async def inject_later(name: str, delay_s: float) -> None:
            await asyncio.sleep(started_at + delay_s - world.loop.now)
            await FAULT_SCRIPTS[name](scenario)

        await asyncio.gather(*(inject_later(name, delay_s) for name, delay_s in faults))
        await scenario.end()
        await asyncio.sleep(world.rng.uniform(0, 10))
        restore(world)
        world.delayed_share, world.store.latency, world.cloud.fast_boot = 0.0, 0.004, False
        world.cut_worker_links.clear()
        for worker in world.workers.values():
            worker.hung = False
        world.rules.faults_cleared_at = world.loop.now
        states = await world.wait_until_finished(scenario.ids, 420)
        assert set(states.values()) <= {"done", "cancelled"}, states
        # Every node keeps reporting the same final state.
        for job_id in world.rng.sample(scenario.ids, min(12, len(scenario.ids))):
            for node in world.nodes:
                assert await world.poll(job_id, node) == states[job_id]
        watcher.cancel()

    return day(script, seed=seed, controllers=controllers, each=2, machines=6)


@pytest.mark.parametrize("combination", FAULT_COMBINATIONS)
def test_rules_hold_for_each_named_combination(combination: str) -> None:
    for seed in range(2):
        play(FAULT_COMBINATIONS[combination], seed)


def draw_faults(seed: int, fault_counts: Sequence[int] = (2, 2, 3)) -> list[tuple[str, float]]:
    rng = random.Random(seed)
    return [(rng.choice(sorted(FAULT_SCRIPTS)), rng.uniform(0, 12)) for _ in range(rng.choice(fault_counts))]


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_for_random_pairs_and_triples(seed: int) -> None:
    play(draw_faults(seed), seed, 3 if seed % 3 else 5)


if __name__ == "__main__":
    # To run more seeds and more faults at once: `python -m tests.test_meetings 1000 1400 4 6`.
    first, last, *fault_counts = map(int, sys.argv[1:])
    failures = 0
    for seed in range(first, last):
        faults = draw_faults(seed, fault_counts or (2, 2, 3))
        try:
            play(faults, seed, 3 if seed % 3 else 5)
        except AssertionError as error:
            failures += 1
            print(seed, faults, str(error).splitlines()[0][:300], flush=True)
    print(f"{last - first} played, {failures} broken")
