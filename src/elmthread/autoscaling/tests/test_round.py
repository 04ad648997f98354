"""Tests of the work per round: jobs and machines are evaluated once, and only suspect machines individually."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest

from elmthread.autoscaling.deferrable_scaling import DeferrableScaling
from elmthread.autoscaling.running_work import AllocatedWork, RunningWork
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine, MachineState
from elmthread.leader import Leader
from elmthread.machines.failure_detection import FailureDetector
from elmthread.placement.bin_packing import is_allowed
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


async def start_loaded_leader(world: World) -> Leader:
    """Return a leader with running and waiting jobs of various kinds, on machines of all kinds."""
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


def test_a_round_estimates_each_job_once_and_counts_all_work_on_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Groups of jobs share machines, and summing up all tasks for each group again is too slow on small controllers."""

    async def script(world: World) -> None:
        leader = await start_loaded_leader(world)
        autoscaler, cluster, now = leader.autoscaler, leader.cluster, leader.context.clock()
        estimated_jobs: list[str] = []
        expected_run_time = leader.run_times.expected_run_time

        class RecordingRunTimes:
            """Run times that record each job that the autoscaler asks for."""

            def expected_run_time(self, estimated_job: Job) -> timedelta:
                estimated_jobs.append(estimated_job.id)
                return expected_run_time(estimated_job)

        monkeypatch.setattr(autoscaler._deferrable, "_run_times", RecordingRunTimes())
        checked = 0
        suitable_machines, on_machines = DeferrableScaling._suitable_machines, RunningWork.on_machines

        def checked_machines(self: DeferrableScaling, request: Any, view: Any) -> tuple[str, ...]:
            nonlocal checked
            found = suitable_machines(self, request, view)
            expected_names = {
                machine.name
                for machine in cluster.machines.values()
                if machine.provides_capacity(now)
                and is_allowed(request, machine.machine_type, machine.zone, machine.spot)
                and request.cpus <= machine.cpus
                and request.gpus <= machine.gpus
                and request.memory_gb <= machine.memory_gb
            }
            assert set(found) == expected_names and len(found) == len(expected_names)
            checked += 1
            return found

        def checked_sum(self: RunningWork, names: set[str]) -> AllocatedWork:
            nonlocal checked
            cores, core_seconds = work = on_machines(self, names)
            running = [
                allocation
                for name in names
                for allocation in cluster.machines[name].allocations.values()
                if not allocation.job.is_service
            ]
            assert cores == pytest.approx(sum(allocation.job.spec.cpus for allocation in running))
            expected_core_seconds = 0.0
            for allocation in running:
                run_time_s = expected_run_time(allocation.job).total_seconds()
                elapsed_s = 0.0 if allocation.started_at is None else (now - allocation.started_at).total_seconds()
                expected_core_seconds += allocation.job.spec.cpus * (
                    run_time_s if allocation.started_at is None else max(run_time_s - elapsed_s, run_time_s * 0.2)
                )
            assert core_seconds == pytest.approx(expected_core_seconds)
            checked += 1
            return work

        monkeypatch.setattr(DeferrableScaling, "_suitable_machines", checked_machines)
        monkeypatch.setattr(RunningWork, "on_machines", checked_sum)
        autoscaler.run_round()
        assert checked > 4 and sum(len(machine.allocations) for machine in cluster.machines.values()) > 60
        assert 0 < len(estimated_jobs) == len(set(estimated_jobs)) <= len(cluster.open_jobs)

    day(script, machines=6)


def test_only_suspect_machines_are_checked_one_by_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def script(world: World) -> None:
        leader = await start_loaded_leader(world)
        await asyncio.sleep(10)
        evaluated: list[Machine] = []
        release_expired = FailureDetector._release_expired

        def recording(self: FailureDetector, machine: Machine, now: Any) -> None:
            evaluated.append(machine)
            release_expired(self, machine, now)

        monkeypatch.setattr(FailureDetector, "_release_expired", recording)
        up = [machine for machine in leader.cluster.machines.values() if machine.state is MachineState.UP]
        assert len(up) >= 6
        leader.machine_manager.failure_detector.check()
        assert len(evaluated) <= 1
        # Silent, interrupted and quarantined machines are checked.
        silent, interrupted, quarantined = up[:3]
        for node in world.nodes:
            world.cut_worker_links.add((silent.name, node))
        interrupted.interruption_at = leader.context.clock() * 2
        quarantined.quarantined = True
        await asyncio.sleep(6)
        evaluated.clear()
        leader.machine_manager.failure_detector.check()
        assert {silent.name, interrupted.name, quarantined.name} <= {machine.name for machine in evaluated}
        assert silent.heartbeat_overdue and not interrupted.heartbeat_overdue

    day(script, machines=8, each=0)
