"""The world at a size near the grown deployments', its work counted in steps, not in seconds."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest

from elmthread.api.job_service import JobService
from elmthread.autoscaling.autoscaler import Autoscaler
from elmthread.cluster.events import ClusterEvents
from elmthread.placement import bin_packing
from elmthread.placement.scheduler import Scheduler
from elmthread.workers import messages
from elmthread.workers.heartbeats import HeartbeatHandler
from elmthread.workers.reconciliation import HeartbeatReconciler
from tests.world.counting import count_calls, count_changes, observe_calls
from tests.world.day import day
from tests.world.random_troubles import set_isolated
from tests.world.specs import job
from tests.world.world import World, start

MACHINES = 300
JOBS = 50


async def submit_mixed_jobs(world: World) -> list[str]:
    ids = []
    for number in range(JOBS):
        size = 600 if number % 10 == 0 else 40
        spec = job(number, pieces=size, kit=f"img-{number % 7}", true_s=12.0, expected_s=15.0)
        spec["urgency"] = "high" if number % 3 == 1 else "normal"
        assert await world.submit(spec)
        ids.append(spec["name_id"])
    return ids


def test_hundreds_of_machines_and_a_fail_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Thousands of tasks; the work for each stays within bounds that a quadratic slip would break."""
    changes: Counter[int] = Counter()  # by second
    calls: Counter[str] = Counter()
    count_calls(monkeypatch, calls, bin_packing, "fitting_tasks")

    async def script(world: World) -> None:
        count_changes(world, changes)
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", ["east", "north"][index % 2], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids = await submit_mixed_jobs(world)
        await asyncio.sleep(15)
        running = set(world.rules.running)
        assert len(running) > 1500
        old = world.leader
        assert old is not None
        world.kill(old.node)
        crashed = world.loop.now
        while world.leader is None or not world.leader.leader.loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.1)
        # The new leader serves within seconds, with all that there is in the store.
        assert world.loop.now - crashed < 6
        for job_id in ids:
            assert await world.poll(job_id) is not None
        world.start(old.node)
        states = await world.wait_until_finished(ids, 100)
        assert set(states.values()) == {"done"}

    world = day(script, machines=0, controllers=5, each=MACHINES)
    tasks = sum(world.rules.starts.values())
    # A lease outlasts a crash: hardly a task is started again for it.
    assert tasks < 1.02 * len(world.rules.starts)
    assert sum(changes.values()) < tasks / 10
    # The rate with its burst, and the other nodes' share.
    assert max(changes.values()) <= 30 * 2
    assert calls["fitting_tasks"] < 10 * tasks, calls["fitting_tasks"] / tasks


async def submit_long_jobs(world: World) -> list[str]:
    ids = []
    for number in range(30):
        crew, pieces = ("red", 6) if number % 9 == 0 else ("blue", 60)
        spec = job(number, crew=crew, pieces=pieces, true_s=20.0, expected_s=20.0)
        assert await world.submit(spec)
        ids.append(spec["name_id"])
    return ids


async def restart_everything(world: World) -> None:
    """All controllers and workers end in an outage of the store, and are back within seconds."""
    world.store.outage(True)
    for node in list(world.controllers):
        world.kill(node)
    for index, worker in enumerate(list(world.workers.values())):
        # Half of them keep their incarnation's number.
        worker.restart(worker.incarnation + index % 2)
    for index, node in enumerate(world.nodes):
        world.loop.call_later(0.2 + 0.3 * index, start, world, node)
    await asyncio.sleep(3)
    world.store.outage(False)


def note_returns(world: World) -> list[bool]:
    """Note for each machine that is deleted from now on whether it had nothing to do.

    Machines that have nothing to do may go back, however many; none may be lost. What a machine
    had when it was deleted, and whether it was heard until then, tells which it was.
    """
    returned: list[bool] = []
    on_deleted = world.cloud.on_deleted

    def note(name: str) -> None:
        worker = world.workers[name]
        empty = all(task.state == "exited" for task in worker.tasks.values())
        returned.append(empty and worker.incarnation <= 4 and world.loop.now - worker.lease_renewed_at < 6)
        on_deleted(name)

    world.cloud.on_deleted = note
    return returned


def test_everything_back_at_once_and_a_second_time_before_the_first_is_over() -> None:
    """All workers and all controllers restart, in an outage and in the middle of the election after it."""

    async def script(world: World) -> None:
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", ["east", "north", "west"][index % 3], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids = await submit_long_jobs(world)
        await asyncio.sleep(10)
        assert len(world.rules.running) > 1000
        await restart_everything(world)
        # The second time falls into the election after the first.
        await asyncio.sleep(0.4)
        await restart_everything(world)
        await asyncio.sleep(0.0)
        over = world.rules.faults_cleared_at = world.loop.now
        returned = note_returns(world)
        while await world.poll(ids[0]) is None:
            assert world.loop.now < over + 6
            await asyncio.sleep(0.2)
        # Once a leader serves, most questions are answered, and every worker is renewed before its
        # lease is over: tasks start on nearly all of them.
        answered = 0
        for job_id in ids:
            answered += await world.poll(job_id) is not None
        assert answered > 0.9 * len(ids)
        for node in world.nodes:
            assert (await world.ask("GET", "/ready", node=node)).status == 200
        await asyncio.sleep(15)
        sessions = [worker.incarnation for worker in world.workers.values()]
        assert max(sessions) <= 4 and len(world.workers) + len(returned) == MACHINES and all(returned)
        assert len({machine for machine, _ in world.rules.running}) > 0.3 * MACHINES
        assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}

    day(script, machines=0, each=MACHINES)


async def cut_zone_off(world: World, more: Callable[[int], Awaitable[None]]) -> None:
    """Cut a zone off with a controller, which keeps its workers and nothing else; jobs come meanwhile."""
    west = [name for name, worker in world.workers.items() if worker.zone == "west"]
    cut_off = next(node for node in world.nodes if world.leader and node != world.leader.node)
    set_isolated(world, cut_off, True)
    world.cut_worker_links |= {(worker, node) for worker in west for node in world.nodes if node != cut_off}
    await asyncio.sleep(10)
    await more(5)
    await asyncio.sleep(20)
    set_isolated(world, cut_off, False)
    world.cut_worker_links.clear()
    await asyncio.sleep(5)


async def refuse_peer_links(world: World, job_id: str) -> str:
    """Cut all links between controllers: users at followers are refused at once, the leader serves on; return it."""
    can_reach, world.can_reach = world.can_reach, lambda one, other: False  # type: ignore[method-assign]
    assert world.leader is not None
    leader = world.leader.node
    for node in world.nodes:
        asked = world.loop.now
        status = (await world.ask("GET", f"/submissions/{job_id}", node=node)).status
        assert status == (200 if node == leader else 503) and world.loop.now - asked < 0.1
    await asyncio.sleep(10)
    world.can_reach = can_reach  # type: ignore[method-assign]
    return leader


def lose_a_third(world: World) -> None:
    """Let a third of the machines end, hang or fail their tasks."""
    names = sorted(world.workers)
    for name in names[::9]:
        world.workers.pop(name).terminate()
        world.cloud.machines[name].state = "failed"
    for name in names[1::9]:
        world.workers[name].hung = True
    for name in names[2::9]:
        world.workers[name].faulty = True


def test_a_fleet_through_one_trouble_after_the_other_is_served_on() -> None:
    """A zone cut off with its controller, refused links, a leader that stands still, a third of all lost."""

    async def script(world: World) -> None:
        zones = ["east", "north", "west"]
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", zones[index // 3 % 3], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids: list[str] = []

        async def more(count: int) -> None:
            for _ in range(count):
                number = len(ids)
                spec = job(number, pieces=25, true_s=10.0, expected_s=10.0, urgency=["high", "normal"][number % 2])
                assert await world.submit(spec)
                ids.append(spec["name_id"])

        await more(30)
        await asyncio.sleep(6)
        await cut_zone_off(world, more)
        leader = await refuse_peer_links(world, ids[0])
        await more(5)
        await world.suspend(leader, 6.0)
        assert world.leader is not None and world.leader.node != leader
        lose_a_third(world)
        await more(10)
        await asyncio.sleep(20)
        for worker in world.workers.values():
            worker.hung = False
        world.rules.faults_cleared_at = world.loop.now
        assert set((await world.wait_until_finished(ids, 150)).values()) == {"done"}
        for node in world.nodes:
            assert (await world.ask("GET", "/ready", node=node)).status == 200

    day(script, machines=0, each=MACHINES)


def test_a_report_that_says_nothing_new_costs_nothing_for_the_tasks_in_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Most of what reports list runs on as before: neither is it taken in again, nor weighed for a command."""
    work: Counter[str] = Counter()

    count_calls(monkeypatch, work, HeartbeatHandler, "handle")
    count_calls(monkeypatch, work, HeartbeatReconciler, "_observe_state")
    count_calls(monkeypatch, work, messages, "task_name")

    async def script(world: World) -> None:
        for _ in range(4):
            world.rent("large", "east")
        await asyncio.sleep(2)
        assert await world.submit(job(1, pieces=40, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(12)
        assert len(world.rules.running) == 40
        assert work["_observe_state"] >= 40 and work["task_name"] >= 40
        work.clear()
        await asyncio.sleep(15)
        assert len(world.rules.running) == 40
        assert work["handle"] >= 10
        assert work["_observe_state"] == work["task_name"] == 0

    day(script, machines=0)


def test_an_answer_leaves_before_the_decisions_that_its_job_causes(monkeypatch: pytest.MonkeyPatch) -> None:
    """A round of decisions takes longer than an answer, and would hold it up on a small share."""
    events: list[str] = []
    submit = JobService.submit

    async def answered(*arguments: Any) -> Any:
        response = await submit(*arguments)
        events.append("answer")
        return response

    monkeypatch.setattr(JobService, "submit", answered)
    observe_calls(monkeypatch, ClusterEvents, "notify_jobs_changed", partial(events.append, "durable"))
    observe_calls(monkeypatch, Scheduler, "run_round", partial(events.append, "round"))
    observe_calls(monkeypatch, Autoscaler, "run_round", partial(events.append, "round"))

    async def script(world: World) -> None:
        await asyncio.sleep(5)
        events.clear()
        for number in range(20):
            assert await world.submit(job(number))
            await asyncio.sleep(0.1 * (number % 7))

    day(script)
    after_durable = [events[index + 1] for index, event in enumerate(events) if event == "durable"]
    assert after_durable == ["answer"] * 20
    assert "round" in events
