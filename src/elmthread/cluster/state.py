"""The leader's in-memory state: all jobs, machines and allocations, and the resource counts derived from them."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TypeVar

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.machine import Machine, MachineState
from elmthread.common.clock import seconds

K = TypeVar("K")

# How long the names of deleted machines are kept: late lists and heartbeats may still name them.
DELETED_MACHINE_RETENTION = seconds(900)


def job_entry_bytes(job_id: str) -> int:
    """Return the size in bytes of a job's entry in a machine's record, without tasks: `"ID":[],`, quotes escaped."""
    return len(job_id) + 8


def task_entry_bytes(task: int, attempt: int) -> int:
    """Return the size in bytes of a task's entry in a machine's record: `TASK,ATTEMPT,`."""
    return len(str(task)) + len(str(attempt)) + 2


class ClusterState:
    """All jobs and machines, with the resource usage of allocations by machine, job, zone and team."""

    def __init__(self, max_record_bytes: int, empty_record_bytes: Callable[[Machine], int] = lambda machine: 0) -> None:
        """Start empty; a machine's record may take `max_record_bytes`, and takes `empty_record_bytes` without tasks."""
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # When machines were deleted, by name, for DELETED_MACHINE_RETENTION.
        self.deleted_machines: dict[str, timedelta] = {}
        self.cpus_by_team: dict[str, float] = {}
        self.gpus_by_team: dict[str, float] = {}
        self.max_record_bytes = max_record_bytes
        self._empty_record_bytes = empty_record_bytes
        # Whether the last scheduling round left tasks unplaced.
        self.has_waiting_tasks = False

    def add_machine(self, machine: Machine) -> None:
        """Add a machine without allocations."""
        self.machines[machine.name] = machine
        machine.record_bytes = self._empty_record_bytes(machine)

    def record_bytes_left(self, machine: Machine) -> int:
        """Return the bytes left in its record for more assignments; negative if the store's value limit was lowered."""
        return self.max_record_bytes - machine.record_bytes

    def add_job(self, job: Job) -> None:
        """Add a job."""
        self.jobs[job.id] = job
        if job.is_open:
            self.open_jobs[job.id] = job

    def remove_machine(self, machine: Machine, now: timedelta) -> None:
        """Remove a machine whose deletion is confirmed, and release all its allocations."""
        self.machines.pop(machine.name, None)
        self.release_all(machine, now)
        for name in [name for name, at in self.deleted_machines.items() if now - at > DELETED_MACHINE_RETENTION]:
            del self.deleted_machines[name]
        self.deleted_machines[machine.name] = now

    def close_job(self, job: Job, state: JobState) -> None:
        """Move an open job to a final state."""
        job.transition_to(state)
        self.open_jobs.pop(job.id, None)

    def allocate(self, machine: Machine, job: Job, task: int, attempt: int, state: AllocationState) -> Allocation:
        """Create an allocation and count its resources."""
        allocation = Allocation(job, task, attempt, machine, state)
        machine.allocations[attempt] = allocation
        job.allocations[attempt] = allocation
        self._count(allocation, 1)
        return allocation

    def release(self, allocation: Allocation, now: timedelta) -> None:
        """Release an allocation whose task is proven not to be on the machine.

        The task is pending again if it has no other allocation and is still to be done.
        """
        machine, job, task = allocation.machine, allocation.job, allocation.task
        del machine.allocations[allocation.attempt]
        del job.allocations[allocation.attempt]
        self._count(allocation, -1)
        if allocation.state is AllocationState.RUNNING:
            job.running_count -= 1
        if not machine.allocations:
            # Floating-point sums may not return to exactly 0.
            machine.cpus_used = machine.gpus_used = machine.memory_gb_used = 0.0
            machine.urgent_cpus = machine.service_cpus = 0.0
            machine.idle_since = now
        if task not in job.allocation_counts and job.is_open and not job.is_done(task):
            job.pending_tasks.appendleft(task)

    def release_all(self, machine: Machine, now: timedelta) -> None:
        """Release all allocations of the machine."""
        for allocation in list(machine.allocations.values()):
            self.release(allocation, now)

    def _count(self, allocation: Allocation, sign: int) -> None:
        """Add the allocation's resources to all counts, or subtract them: `sign` is 1 or -1."""
        machine, job, spec = allocation.machine, allocation.job, allocation.job.spec
        cpus, gpus = sign * spec.cpus, sign * spec.gpus
        machine.cpus_used += cpus
        machine.gpus_used += gpus
        machine.memory_gb_used += sign * spec.ram_gb
        if job.urgent:
            machine.urgent_cpus += cpus
        if job.is_service:
            machine.service_cpus += cpus
        self.cpus_by_team[spec.team] = self.cpus_by_team.get(spec.team, 0.0) + cpus
        self.gpus_by_team[spec.team] = self.gpus_by_team.get(spec.team, 0.0) + gpus
        machine.record_bytes += sign * task_entry_bytes(allocation.task, allocation.attempt)
        if job.id not in machine.task_counts:
            machine.record_bytes += job_entry_bytes(job.id)
        if not _change_count(machine.task_counts, job.id, sign):
            machine.record_bytes -= job_entry_bytes(job.id)
        _change_count(job.tasks_by_zone, machine.zone, sign)
        _change_count(job.allocation_counts, allocation.task, sign)

    def is_newer_heartbeat(self, machine_name: str, incarnation: int, sequence: int) -> bool:
        """Return whether the heartbeat is newer than all that this leader has received from the machine."""
        machine = self.machines.get(machine_name)
        return machine is not None and (incarnation, sequence) > machine.last_heartbeat_id

    def up_machines(self) -> Iterator[Machine]:
        """Return the machines that are up."""
        return (machine for machine in self.machines.values() if machine.state is MachineState.UP)


def _change_count(counts: dict[K, int], key: K, change: int) -> int:
    """Change a count and return it; a count of 0 is removed."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        del counts[key]
    return count
