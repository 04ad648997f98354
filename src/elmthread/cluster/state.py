"""The leader's state: all jobs and machines, and the counts that the rules are judged by."""

from collections.abc import Callable, Iterator
from datetime import timedelta

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.machine import REMEMBERED, Machine, MachineState


def entry_size(job_id: str) -> int:
    """Bytes in a machine's record for a job with tasks there: `"ID":[],`, its quotes escaped once more."""
    return len(job_id) + 8


def task_size(task: int, attempt: int) -> int:
    return len(str(task)) + len(str(attempt)) + 2


class ClusterState:
    """All jobs and machines, and the counts that the rules are judged by."""

    def __init__(self, max_record_bytes: int, frame: Callable[[Machine], int] = lambda machine: 0) -> None:
        """`max_record_bytes` bytes is all that a machine's record may take, `frame` what it takes when empty."""
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # Machines whose deletion was answered, and when: late lists and reports still name them.
        self.deleted_machines: dict[str, timedelta] = {}
        self.cpus_by_team: dict[str, float] = {}
        self.gpus_by_team: dict[str, float] = {}
        self.max_record_bytes = max_record_bytes
        self._frame = frame
        # Tasks were left without room in the last scheduling round.
        self.has_waiting_tasks = False

    def add_machine(self, machine: Machine) -> None:
        self.machines[machine.name] = machine
        machine.record_bytes = self._frame(machine)

    def record_bytes_left(self, machine: Machine) -> int:
        """Bytes that more assignments may take; below 0 where larger values were allowed once."""
        return self.max_record_bytes - machine.record_bytes

    def add_job(self, job: Job) -> None:
        self.jobs[job.id] = job
        if job.is_open:
            self.open_jobs[job.id] = job

    def remove_machine(self, machine: Machine, now: timedelta) -> None:
        """The machine and all on it are surely gone."""
        self.machines.pop(machine.name, None)
        self.release_all(machine, now)
        # What comes later than this would only be taken for a new machine, and deleted as silent.
        for name in [name for name, at in self.deleted_machines.items() if now - at > REMEMBERED]:
            del self.deleted_machines[name]
        self.deleted_machines[machine.name] = now

    def close_job(self, job: Job, state: JobState) -> None:
        job.transition_to(state)
        self.open_jobs.pop(job.id, None)

    def allocate(self, machine: Machine, job: Job, task: int, attempt: int, state: AllocationState) -> Allocation:
        allocation = Allocation(job, task, attempt, machine, state)
        machine.allocations[attempt] = allocation
        spec = job.spec
        machine.cpus_used += spec.cpus
        if job.urgent:
            machine.urgent_cpus += spec.cpus
        if job.is_service:
            machine.service_cpus += spec.cpus
        if job.id not in machine.task_counts:
            machine.record_bytes += entry_size(job.id)
        machine.task_counts[job.id] = machine.task_counts.get(job.id, 0) + 1
        machine.record_bytes += task_size(task, attempt)
        machine.gpus_used += spec.gpus
        machine.memory_gb_used += spec.ram_gb
        self.cpus_by_team[spec.team] = self.cpus_by_team.get(spec.team, 0.0) + spec.cpus
        self.gpus_by_team[spec.team] = self.gpus_by_team.get(spec.team, 0.0) + spec.gpus
        job.allocation_counts[task] = job.allocation_counts.get(task, 0) + 1
        job.allocations[attempt] = allocation
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + 1
        return allocation

    def release(self, allocation: Allocation, now: timedelta) -> None:
        """The task is surely not on the machine; if no other allocation has it, it waits again."""
        machine, job, spec = allocation.machine, allocation.job, allocation.job.spec
        del machine.allocations[allocation.attempt]
        machine.cpus_used -= spec.cpus
        if job.urgent:
            machine.urgent_cpus -= spec.cpus
        if job.is_service:
            machine.service_cpus -= spec.cpus
        machine.record_bytes -= task_size(allocation.task, allocation.attempt)
        machine.task_counts[job.id] -= 1
        if not machine.task_counts[job.id]:
            del machine.task_counts[job.id]
            machine.record_bytes -= entry_size(job.id)
        if allocation.state is AllocationState.RUNNING:
            job.running_count -= 1
        machine.gpus_used -= spec.gpus
        machine.memory_gb_used -= spec.ram_gb
        if not machine.allocations:
            machine.cpus_used = machine.gpus_used = machine.memory_gb_used = 0.0
            machine.urgent_cpus = machine.service_cpus = 0.0
            machine.idle_since = now
        self.cpus_by_team[spec.team] -= spec.cpus
        self.gpus_by_team[spec.team] -= spec.gpus
        del job.allocations[allocation.attempt]
        job.tasks_by_zone[machine.zone] -= 1
        if not job.tasks_by_zone[machine.zone]:
            del job.tasks_by_zone[machine.zone]
        job.allocation_counts[allocation.task] -= 1
        if not job.allocation_counts[allocation.task]:
            del job.allocation_counts[allocation.task]
            if job.is_open and not job.is_done(allocation.task):
                job.pending_tasks.appendleft(allocation.task)

    def is_newer_heartbeat(self, machine_name: str, incarnation: int, sequence: int) -> bool:
        """Return whether a machine sent that heartbeat after all that this leader has had of it."""
        machine = self.machines.get(machine_name)
        return machine is not None and (incarnation, sequence) > machine.last_heartbeat_id

    def release_all(self, machine: Machine, now: timedelta) -> None:
        for allocation in list(machine.allocations.values()):
            self.release(allocation, now)

    def up_machines(self) -> Iterator[Machine]:
        return (machine for machine in self.machines.values() if machine.state is MachineState.UP)
