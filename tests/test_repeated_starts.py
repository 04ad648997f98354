"""Start commands that reach a worker again after it has executed them, also for tasks that were moved or cancelled."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import pytest

from tests.test_meetings import FAULT_COMBINATIONS, play
from tests.world.day import day
from tests.world.specs import job
from tests.world.workers import RESPONSE_TIMEOUT_S, Worker
from tests.world.world import World, start

Trouble = Callable[[World], Awaitable[None]]
# The cloud takes a machine away this long after its notice, which is longer than a response is valid.
INTERRUPTION_NOTICE_S = 2 * RESPONSE_TIMEOUT_S


async def no_trouble(world: World) -> None:
    await asyncio.sleep(1.0)


async def controllers_restart(world: World) -> None:
    """End all controllers, or the leader alone, and start them again within half a second."""
    leader = world.leader.node if world.leader is not None else world.nodes[0]
    for node in list(world.nodes) if world.rng.random() < 0.5 else [leader]:
        if node in world.controllers:
            world.kill(node)
            world.loop.call_later(world.rng.uniform(0.05, 0.5), partial(start, world, node))
    await asyncio.sleep(world.rng.uniform(1.0, 6.0))


async def machine_restarts(world: World) -> None:
    """Restart a machine at once in its next incarnation."""
    worker = world.workers[world.rng.choice(sorted(world.workers))]
    worker.restart(worker.incarnation + 1)
    await asyncio.sleep(world.rng.uniform(1.0, 6.0))


async def running_on(world: World, job_id: str) -> Worker:
    """Wait until a task of the job runs, and return its worker."""
    while True:
        for machine, task in world.rules.running:
            if task.rpartition("/")[0] == job_id and machine in world.workers:
                return world.workers[machine]
        await asyncio.sleep(0.1)


def interrupt(worker: Worker) -> None:
    """Announce that the cloud takes the machine away, so that its tasks move."""
    worker.interruption_at = worker.loop.now + INTERRUPTION_NOTICE_S
    worker.state_changed.set()


@pytest.mark.parametrize("trouble", [no_trouble, controllers_restart, machine_restarts])
def test_repeated_start_runs_no_moved_or_cancelled_task_again(trouble: Trouble) -> None:
    """Guard against a worker that is told to forget a task while a copy of the start command may still reach it."""

    async def script(world: World) -> None:
        await asyncio.sleep(2)  # until the machines are up
        for worker in world.workers.values():
            worker.images.add("img-1")  # so that tasks begin at once
        world.repeated_response_share = 1.0
        ids, workers = [], dict[str, Worker]()
        for number in range(8):
            # One task soon ends, the others run until they are stopped or moved.
            spec = job(number, pieces=3, each_s=[0.3, 20.0, 20.0], expected_s=20.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
            worker = await running_on(world, ids[-1])
            workers |= world.workers
            if number % 2:
                interrupt(worker)
            else:
                assert await world.withdraw(ids[-1]) == "cancelled"
            await asyncio.sleep(world.rng.uniform(0.5, 4.0))
            if number in (3, 6):
                await trouble(world)
        states = await world.wait_until_finished(ids, 300)
        assert list(states.values()) == ["cancelled", "done"] * 4
        await asyncio.sleep(2 * RESPONSE_TIMEOUT_S)
        assert [worker.name for worker in world.workers.values() if worker.tasks] == []  # all ended tasks are removed
        begun_again = {attempt for worker in workers.values() for attempt, count in worker.begun.items() if count > 1}
        assert begun_again == set()

    for seed in range(6):
        day(script, seed=seed, machines=8)


@pytest.mark.parametrize(
    "combination",
    [
        "commands and answers are held up, machines hang",
        "cancelled while work changes hands",
        "leaders change ten times in two minutes",
        "old reports after newer ones, of earlier sessions too",
        "jobs bound to a zone lose machines",
        "handed over and back, all end, one is back",
    ],
)
def test_rules_hold_when_responses_are_repeated_amid_other_faults(combination: str) -> None:
    """Guard against rules broken by repeated responses in the seconds in which controllers or machines come back."""
    play(FAULT_COMBINATIONS[combination], seed=7, repeated_response_share=0.5)
