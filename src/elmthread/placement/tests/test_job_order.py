"""Tests of the placement order of jobs, with a direct check of each rule."""

import random
from collections import Counter
from datetime import UTC, datetime, timedelta

from elmthread.api.messages import read_submission
from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.job import Job, JobPolicy, JobState
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import ZERO, seconds
from elmthread.placement.attempts import AttemptCounter
from elmthread.placement.job_order import POSTPONED_CORE_SHARE, STARVATION_AGE
from elmthread.placement.requests import PlacementClass
from elmthread.placement.scheduler import Scheduler, SchedulerSettings
from elmthread.settings.platform import Team
from tests.world.specs import job as make_submission
from tests.world.term import term_context

NOW = seconds(1000)
RUN_TIME = seconds(20)


class NullAssignmentSink:
    def record_assignments(self, machine: Machine) -> None:
        pass


class ConstantRunTimes(RunTimeModel):
    def expected_run_time(self, job: Job) -> timedelta:
        return RUN_TIME


def make_cluster(rng: random.Random) -> tuple[ClusterState, Scheduler]:
    cluster = ClusterState(1000)
    for number in range(rng.randint(1, 6)):
        machine = Machine(f"m-{number}", InstanceKind("large", "east", False), MachineState.UP, ZERO)
        machine.cpus, machine.memory_gb = 16.0, 64.0
        cluster.add_machine(machine)
    attempt = 0
    for number in range(rng.randint(1, 25)):
        urgent = rng.random() < 0.3
        spec = read_submission(
            make_submission(
                number,
                crew=rng.choice(["red", "blue"]),
                pieces=rng.choice([1, 4, 30, 200]),
                urgency="high" if urgent else "normal",
            )
        )
        submitted_at = NOW - seconds(rng.uniform(0, 600))
        job = Job(
            spec, datetime.now(UTC), submitted_at, JobPolicy(seconds(rng.choice([60, 120, 200])), 1.5, urgent), 64
        )
        job.durable_state = JobState.OPEN
        cluster.add_job(job)
        if rng.random() < 0.4:
            for _ in range(min(job.task_count, 3)):
                attempt += 1
                cluster.allocate(
                    cluster.machines["m-0"], job, job.pending_tasks.popleft(), attempt, AllocationState.COMMITTED
                )
        if rng.random() < 0.3:
            job.mark_done(job.task_count - 1)
    teams = {"red": Team("red", cpus=16.0, cpus_max=48.0), "blue": Team("blue")}
    settings = SchedulerSettings(teams, seconds(3))
    context = term_context(lambda: NOW, cluster)
    scheduler = Scheduler(context, settings, AttemptCounter(0), NullAssignmentSink(), ConstantRunTimes())
    return cluster, scheduler


def test_classes_of_requests_are_in_the_order_of_the_rules() -> None:
    assert sorted(PlacementClass) == [
        PlacementClass.FIRST_TASK,
        PlacementClass.URGENT,
        PlacementClass.GUARANTEED,
        PlacementClass.ON_TIME,
        PlacementClass.POSTPONED,
    ]


def test_jobs_are_placed_in_order_and_each_one_starts() -> None:
    for seed in range(200):
        cluster, scheduler = make_cluster(random.Random(seed))
        requests = scheduler.requests(NOW)
        waiting = Counter({job.id: len(job.pending_tasks) for job in cluster.open_jobs.values() if job.pending_tasks})
        requested: Counter[str] = Counter()
        for request in requests:
            assert request.count >= 0
            requested[request.job_id] += request.count
        # Every waiting task is requested exactly once.
        assert requested == waiting
        positions_by_job: dict[str, list[int]] = {}
        for position, request in enumerate(requests):
            if request.count:
                positions_by_job.setdefault(request.job_id, []).append(position)
        for job_id, positions in positions_by_job.items():
            job = cluster.jobs[job_id]
            waiting_time = NOW - job.submitted_at
            has_started = bool(job.allocations or job.done_count)
            first = requests[positions[0]]
            if waiting_time > STARVATION_AGE and not has_started:
                # Only other starving jobs come before it.
                assert first.count == 1
                for request in requests[: positions[0]]:
                    other = cluster.jobs[request.job_id]
                    assert not request.count or (
                        NOW - other.submitted_at > STARVATION_AGE and not other.allocations and not other.done_count
                    )
            elif job.urgent:
                for request in requests[: positions[0]]:
                    other = cluster.jobs[request.job_id]
                    is_other_starving = (
                        NOW - other.submitted_at > STARVATION_AGE and not other.allocations and not other.done_count
                    )
                    assert not request.count or other.urgent or (is_other_starving and request.count == 1)
        # All others: urgent jobs by rank and deadline, then jobs within a guarantee, then the rest by deadline.
        assert [request.sort_key for request in requests] == sorted(request.sort_key for request in requests)
        # Postponed jobs that are placed with on-time jobs stay within their share of the cores.
        cores = sum(machine.cpus for machine in cluster.machines.values())
        postponed = {
            request.job_id for request in requests if request.sort_key.placement_class is PlacementClass.POSTPONED
        }
        promoted = [
            request
            for request in requests
            if request.job_id in postponed and request.sort_key.placement_class is PlacementClass.ON_TIME
        ]
        assert sum(request.count * request.cpus for request in promoted) <= POSTPONED_CORE_SHARE * cores
