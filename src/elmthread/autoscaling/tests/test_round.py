"""Work per round: each job and machine is evaluated once, and only suspect machines one by one."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest

from elmthread.autoscaling.deferrable_scaling import DeferrableScaling
from elmthread.autoscaling.running_work import HeldWork, RunningWork
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine, MachineState
from elmthread.leader import Leader
from elmthread.machines.failure_detection import FailureDetector
from elmthread.placement.bin_packing import is_allowed
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


async def filled(world: World) -> Leader:
    """Return a leader with running and waiting jobs of many kinds, on machines of all kinds."""
    for number in range(12):
        changes: dict[str, Any] = {"pieces": 20, "true_s": 40.0, "expected_s": 40.0}
        changes |= {"builds": ["large"]} if number % 4 == 1 else {}
        changes |= {"yard": "north"} if number % 4 == 2 else {}
        changes |= {"loaners": False} if number % 4 == 3 else {}
        changes |= {"urgency": "high"} if number % 5 == 0 else {}
        assert await world.submit(job(number, **changes))
    await asyncio.sleep(20)
    assert world.leader is not None and world.leader.leader is not None
    return world.leader.leader


def test_a_round_estimates_each_job_once_and_sums_up_all_that_machines_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Groups of jobs share machines; summing up all tasks again for each group is too slow on small controllers."""

    async def script(world: World) -> None:
        leader = await filled(world)
        autoscaler, cluster, now = leader.autoscaler, leader.cluster, leader.context.clock()
        asked: list[str] = []
        expected_run_time = leader.run_times.expected_run_time

        class Counted:
            """Run times that record each job that the autoscaler asks for."""

            def expected_run_time(self, one: Job) -> timedelta:
                asked.append(one.id)
                return expected_run_time(one)

        monkeypatch.setattr(autoscaler._deferrable, "_run_times", Counted())
        checked = 0
        suitable_machines, on_machines = DeferrableScaling._suitable_machines, RunningWork.on_machines

        def checked_machines(self: DeferrableScaling, request: Any, view: Any) -> tuple[str, ...]:
            nonlocal checked
            found = suitable_machines(self, request, view)
            plain = {
                machine.name
                for machine in cluster.machines.values()
                if machine.provides_capacity(now)
                and is_allowed(request, machine.machine_type, machine.zone, machine.spot)
                and request.cpus <= machine.cpus
                and request.gpus <= machine.gpus
                and request.memory_gb <= machine.memory_gb
            }
            assert set(found) == plain and len(found) == len(plain)
            checked += 1
            return found

        def checked_sum(self: RunningWork, names: set[str]) -> HeldWork:
            nonlocal checked
            cores, core_seconds = work = on_machines(self, names)
            held = [
                allocation
                for name in names
                for allocation in cluster.machines[name].allocations.values()
                if not allocation.job.is_service
            ]
            assert cores == pytest.approx(sum(allocation.job.spec.cpus for allocation in held))
            plain = 0.0
            for allocation in held:
                whole = expected_run_time(allocation.job).total_seconds()
                ran = 0.0 if allocation.started_at is None else (now - allocation.started_at).total_seconds()
                plain += allocation.job.spec.cpus * (
                    whole if allocation.started_at is None else max(whole - ran, whole * 0.2)
                )
            assert core_seconds == pytest.approx(plain)
            checked += 1
            return work

        monkeypatch.setattr(DeferrableScaling, "_suitable_machines", checked_machines)
        monkeypatch.setattr(RunningWork, "on_machines", checked_sum)
        autoscaler.run_round()
        assert checked > 4 and sum(len(machine.allocations) for machine in cluster.machines.values()) > 60
        assert 0 < len(asked) == len(set(asked)) <= len(cluster.open_jobs)

    day(script, machines=6)


def test_only_suspect_machines_are_checked_one_by_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def script(world: World) -> None:
        leader = await filled(world)
        await asyncio.sleep(10)
        judged: list[Machine] = []
        release_expired = FailureDetector._release_expired

        def noted(self: FailureDetector, machine: Machine, now: Any) -> None:
            judged.append(machine)
            release_expired(self, machine, now)

        monkeypatch.setattr(FailureDetector, "_release_expired", noted)
        up = [machine for machine in leader.cluster.machines.values() if machine.state is MachineState.UP]
        assert len(up) >= 6
        leader.machine_manager.failure_detector.check()
        assert len(judged) <= 1
        # Silent, interrupted and quarantined machines are checked.
        silent, noticed, quarantined = up[:3]
        for node in world.nodes:
            world.cut_worker_links.add((silent.name, node))
        noticed.interruption_at = leader.context.clock() * 2
        quarantined.quarantined = True
        await asyncio.sleep(6)
        judged.clear()
        leader.machine_manager.failure_detector.check()
        assert {silent.name, noticed.name, quarantined.name} <= {machine.name for machine in judged}
        assert silent.heartbeat_overdue and not noticed.heartbeat_overdue

    day(script, machines=8, each=0)
