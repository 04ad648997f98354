"""Simulations with 300 machines, near the size of large deployments; work is bounded in calls, not in seconds."""

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
from tests.world.random_faults import set_isolated
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
    """Run thousands of tasks, and bound the work for each so that accidental quadratic work fails the test."""
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
        old_leader = world.leader
        assert old_leader is not None
        world.kill(old_leader.node)
        killed_at = world.loop.now
        while world.leader is None or not world.leader.leader.loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.1)
        # The new leader serves within seconds, with the whole store loaded.
        assert world.loop.now - killed_at < 6
        for job_id in ids:
            assert await world.poll(job_id) is not None
        world.start(old_leader.node)
        states = await world.wait_until_finished(ids, 100)
        assert set(states.values()) == {"done"}

    world = day(script, machines=0, controllers=5, each=MACHINES)
    tasks = sum(world.rules.starts.values())
    # Worker leases outlast the fail-over, so hardly any task is started again.
    assert tasks < 1.02 * len(world.rules.starts)
    assert sum(changes.values()) < tasks / 10
    # The write rate of 30 per second, doubled for its burst and the writes of the other nodes.
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
    """Restart all controllers and workers within seconds, during an outage of the store."""
    world.store.outage(True)
    for node in list(world.controllers):
        world.kill(node)
    for index, worker in enumerate(list(world.workers.values())):
        # Half of them keep their incarnation number.
        worker.restart(worker.incarnation + index % 2)
    for index, node in enumerate(world.nodes):
        world.loop.call_later(0.2 + 0.3 * index, start, world, node)
    await asyncio.sleep(3)
    world.store.outage(False)


def record_deletions(world: World) -> list[bool]:
    """Record for each machine that is deleted from now on whether it was idle and alive.

    Any number of idle machines may be deleted, but none that is busy or taken for dead. The tasks of a machine at
    its deletion, its incarnation and the time since its lease was renewed tell them apart.
    """
    were_idle: list[bool] = []
    on_deleted = world.cloud.on_deleted

    def record_deletion(name: str) -> None:
        worker = world.workers[name]
        idle = all(task.state == "exited" for task in worker.tasks.values())
        were_idle.append(idle and worker.incarnation <= 4 and world.loop.now - worker.lease_renewed_at < 6)
        on_deleted(name)

    world.cloud.on_deleted = record_deletion
    return were_idle


def test_simultaneous_restart_of_everything_and_another_one_during_the_recovery() -> None:
    """Restart all workers and controllers in an outage, and once more in the middle of the election after it."""

    async def script(world: World) -> None:
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", ["east", "north", "west"][index % 3], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids = await submit_long_jobs(world)
        await asyncio.sleep(10)
        assert len(world.rules.running) > 1000
        await restart_everything(world)
        # The second restart falls into the election after the first.
        await asyncio.sleep(0.4)
        await restart_everything(world)
        await asyncio.sleep(0.0)
        recovered_at = world.rules.faults_cleared_at = world.loop.now
        were_idle = record_deletions(world)
        while await world.poll(ids[0]) is None:
            assert world.loop.now < recovered_at + 6
            await asyncio.sleep(0.2)
        # Once a leader serves, most requests are answered, workers' leases are renewed (an expired one would raise
        # the incarnation), and tasks run on many machines.
        answered_count = 0
        for job_id in ids:
            answered_count += await world.poll(job_id) is not None
        assert answered_count > 0.9 * len(ids)
        for node in world.nodes:
            assert (await world.ask("GET", "/ready", node=node)).status == 200
        await asyncio.sleep(15)
        incarnations = [worker.incarnation for worker in world.workers.values()]
        assert max(incarnations) <= 4 and len(world.workers) + len(were_idle) == MACHINES and all(were_idle)
        assert len({machine for machine, _ in world.rules.running}) > 0.3 * MACHINES
        assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}

    day(script, machines=0, each=MACHINES)


async def cut_zone_off(world: World, submit_more: Callable[[int], Awaitable[None]]) -> None:
    """Isolate a follower, let the workers of a zone reach only that one, and submit jobs meanwhile."""
    west = [name for name, worker in world.workers.items() if worker.zone == "west"]
    cut_off = next(node for node in world.nodes if world.leader and node != world.leader.node)
    set_isolated(world, cut_off, True)
    world.cut_worker_links |= {(worker, node) for worker in west for node in world.nodes if node != cut_off}
    await asyncio.sleep(10)
    await submit_more(5)
    await asyncio.sleep(20)
    set_isolated(world, cut_off, False)
    world.cut_worker_links.clear()
    await asyncio.sleep(5)


async def cut_peer_links(world: World, job_id: str) -> str:
    """Cut all links between controllers, check that followers refuse users at once; return the leader, which serves."""
    can_reach, world.can_reach = world.can_reach, lambda one, other: False  # type: ignore[method-assign]
    assert world.leader is not None
    leader = world.leader.node
    for node in world.nodes:
        sent_at = world.loop.now
        status = (await world.ask("GET", f"/submissions/{job_id}", node=node)).status
        assert status == (200 if node == leader else 503) and world.loop.now - sent_at < 0.1
    await asyncio.sleep(10)
    world.can_reach = can_reach  # type: ignore[method-assign]
    return leader


def lose_a_third_of_machines(world: World) -> None:
    """Make a third of the machines crash, hang, or fail all their tasks."""
    names = sorted(world.workers)
    for name in names[::9]:
        world.workers.pop(name).terminate()
        world.cloud.machines[name].state = "failed"
    for name in names[1::9]:
        world.workers[name].hung = True
    for name in names[2::9]:
        world.workers[name].faulty = True


def test_a_large_cluster_keeps_serving_through_consecutive_faults() -> None:
    """Cut off a zone with its controller, cut peer links, suspend the leader, then lose a third of the machines."""

    async def script(world: World) -> None:
        zones = ["east", "north", "west"]
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", zones[index // 3 % 3], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids: list[str] = []

        async def submit_more(count: int) -> None:
            for _ in range(count):
                number = len(ids)
                spec = job(number, pieces=25, true_s=10.0, expected_s=10.0, urgency=["high", "normal"][number % 2])
                assert await world.submit(spec)
                ids.append(spec["name_id"])

        await submit_more(30)
        await asyncio.sleep(6)
        await cut_zone_off(world, submit_more)
        leader = await cut_peer_links(world, ids[0])
        await submit_more(5)
        await world.suspend(leader, 6.0)
        assert world.leader is not None and world.leader.node != leader
        lose_a_third_of_machines(world)
        await submit_more(10)
        await asyncio.sleep(20)
        for worker in world.workers.values():
            worker.hung = False
        world.rules.faults_cleared_at = world.loop.now
        assert set((await world.wait_until_finished(ids, 150)).values()) == {"done"}
        for node in world.nodes:
            assert (await world.ask("GET", "/ready", node=node)).status == 200

    day(script, machines=0, each=MACHINES)


def test_a_heartbeat_without_changes_causes_no_work_for_its_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that unchanged tasks, the bulk of a heartbeat, are neither recorded again nor considered for a command."""
    calls: Counter[str] = Counter()

    count_calls(monkeypatch, calls, HeartbeatHandler, "handle")
    count_calls(monkeypatch, calls, HeartbeatReconciler, "_observe_state")
    count_calls(monkeypatch, calls, messages, "task_name")

    async def script(world: World) -> None:
        for _ in range(4):
            world.rent("large", "east")
        await asyncio.sleep(2)
        assert await world.submit(job(1, pieces=40, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(12)
        assert len(world.rules.running) == 40
        assert calls["_observe_state"] >= 40 and calls["task_name"] >= 40
        calls.clear()
        await asyncio.sleep(15)
        assert len(world.rules.running) == 40
        assert calls["handle"] >= 10
        assert calls["_observe_state"] == calls["task_name"] == 0

    day(script, machines=0)


def test_a_response_is_sent_before_the_decisions_that_its_job_causes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a scheduling round before the response, which would be late on a small share of a CPU."""
    events: list[str] = []
    submit = JobService.submit

    async def submit_and_record(*arguments: Any) -> Any:
        response = await submit(*arguments)
        events.append("answer")
        return response

    monkeypatch.setattr(JobService, "submit", submit_and_record)
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
