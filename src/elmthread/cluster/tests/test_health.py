"""Faulty machines and faulty jobs are told apart by where tasks fail and where they run."""

from datetime import UTC, datetime

from elmthread.api.messages import read_submission
from elmthread.cluster import health
from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.health import MIN_BACKOFF, STEADY_RUN_TIME
from elmthread.cluster.job import Job, JobPolicy
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import ZERO, seconds
from tests.world.specs import job as submission_body


class HealthFixture:
    def __init__(self) -> None:
        self.cluster = ClusterState(100)
        self.attempt = 0

    def machine(self, number: int) -> Machine:
        machine = Machine(f"m-{number}", InstanceKind("small", "east", False), MachineState.UP, ZERO)
        self.cluster.add_machine(machine)
        return machine

    def job(self, number: int, tasks: int = 100) -> Job:
        spec = read_submission(submission_body(number, pieces=tasks))
        job = Job(spec, datetime.now(UTC), ZERO, JobPolicy(seconds(100), 1.0, False), 64)
        self.cluster.add_job(job)
        return job

    def start_running(self, job: Job, machine: Machine) -> None:
        self.attempt += 1
        allocation = self.cluster.allocate(
            machine, job, job.pending_tasks.popleft(), self.attempt, AllocationState.COMMITTED
        )
        allocation.started_at = ZERO
        allocation.transition_to(AllocationState.RUNNING)


def test_large_job_that_fails_on_faulty_machines_is_not_delayed() -> None:
    """Its first tasks fail immediately on the faulty machines, long before any is done on the others."""
    fixture = HealthFixture()
    job = fixture.job(1)
    for number in range(10, 40):
        fixture.start_running(job, fixture.machine(number))
    faulty = [fixture.machine(number) for number in range(4)]
    for _ in range(4):
        for machine in faulty:
            health.record_failure(machine, job, seconds(5))
    assert job.retry_at == ZERO
    assert all(machine.quarantined for machine in faulty)
    assert job.failed_machines == {machine.name for machine in faulty}


def test_faulty_job_backs_off_and_quarantines_no_machine() -> None:
    fixture = HealthFixture()
    job = fixture.job(1)
    machines = [fixture.machine(number) for number in range(6)]
    now, delays = seconds(1), []
    for machine in machines:
        # Tasks that fail at the same time cause one backoff.
        for _ in range(8):
            health.record_failure(machine, job, now)
        delays.append(job.retry_at - now)
        now = max(now, job.retry_at) + seconds(1)
    assert delays[2:] == [MIN_BACKOFF, MIN_BACKOFF * 2, MIN_BACKOFF * 4, MIN_BACKOFF * 8]
    assert not any(machine.quarantined for machine in machines)


def test_job_that_failed_on_all_machines_is_retried() -> None:
    fixture = HealthFixture()
    job = fixture.job(1)
    for number in range(3):
        health.record_failure(fixture.machine(number), job, seconds(1))
    health.release_avoided_machines(job, seconds(30))
    assert len(job.failed_machines) == 3
    health.release_avoided_machines(job, seconds(62))
    assert not job.failed_machines


def test_failures_of_two_jobs_quarantine_the_machine() -> None:
    fixture = HealthFixture()
    machine = fixture.machine(1)
    health.record_failure(machine, fixture.job(1), seconds(1))
    assert not machine.quarantined
    health.record_failure(machine, fixture.job(2), seconds(1))
    assert machine.quarantined


def test_replica_is_restarted_at_once_after_a_steady_run_and_with_backoff_after_short_ones() -> None:
    fixture = HealthFixture()
    job, machine = fixture.job(1, tasks=2), fixture.machine(1)
    delays = []
    now = seconds(0)
    for _ in range(8):
        fixture.start_running(job, machine)
        allocation = next(iter(job.allocations.values()))
        allocation.started_at = now
        health.record_replica_end(allocation, now + seconds(1))
        delays.append((job.retry_at - now).total_seconds() - 1)
        fixture.cluster.release(allocation, now)
        now = job.retry_at
    assert delays[:4] == [2, 4, 8, 16] and max(delays) == 120
    fixture.start_running(job, machine)
    allocation = next(iter(job.allocations.values()))
    allocation.started_at = now
    health.record_replica_end(allocation, now + STEADY_RUN_TIME)
    assert not job.backoff and job.retry_at <= now + STEADY_RUN_TIME
    assert not machine.quarantined and not machine.failures_by_job
