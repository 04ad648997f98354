"""Reconciliation of the tasks in a heartbeat with the allocations of its machine."""

import logging
from datetime import timedelta
from functools import partial

import msgspec

from elmthread.cluster import health
from elmthread.cluster.allocation import OBSERVED_STATES, Allocation, AllocationState, StopMode
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine, MachineState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.persistence.completions import CompletionRecorder
from elmthread.workers.messages import START_REFUSALS, ExitReason, Heartbeat, StopCommand, TaskId, TaskState, TaskStatus

log = logging.getLogger(__name__)

ALLOCATION_STATES: dict[str, AllocationState] = {
    TaskState.FETCHING: AllocationState.FETCHING,
    TaskState.RUNNING: AllocationState.RUNNING,
    TaskState.CHECKPOINTING: AllocationState.CHECKPOINTING,
}
# A task whose allocation is in one of these states is not on the machine if a heartbeat does not list it.
MUST_BE_LISTED = OBSERVED_STATES | {AllocationState.UNCONFIRMED}


class ReconciliationResult(msgspec.Struct):
    """The outcome of a reconciliation, as far as the response to the heartbeat depends on it."""

    # Exited tasks, which the worker is to remove once their completions are durable.
    exited: list[TaskStatus]
    # Stop commands for tasks that belong to no known job.
    stops: list[StopCommand]
    # Whether a start command that was sent has been lost: the heartbeat does not list its task.
    start_was_lost: bool


class HeartbeatReconciler:
    """Updates allocations, completions and the health of machines and jobs from heartbeats."""

    def __init__(self, context: TermContext, completions: CompletionRecorder, run_times: RunTimeModel) -> None:
        """Create a reconciler; `completions` makes completed tasks durable, `run_times` records their run times."""
        self._cluster = context.cluster
        self._events = context.events
        self._completions = completions
        self._run_times = run_times

    def reconcile(self, machine: Machine, heartbeat: Heartbeat, now: timedelta) -> ReconciliationResult:
        """Apply a heartbeat, which must be the machine's newest, to the machine and its allocations."""
        self._observe_machine(machine, heartbeat, now)
        exited: list[TaskStatus] = []
        stops: list[StopCommand] = []
        for task in heartbeat.tasks:
            allocation = machine.allocations.get(task.attempt)
            if allocation is not None and ALLOCATION_STATES.get(task.state) is allocation.state:
                # Fast path: unchanged since the last heartbeat.
                continue
            if task.state == TaskState.EXITED:
                self._observe_exit(machine, allocation, task, now)
                exited.append(task)
            elif allocation is not None:
                self._observe_state(allocation, task, now)
            else:
                stops += self._observe_unexpected(machine, task, now)
        return ReconciliationResult(exited, stops, self._reconcile_missing(machine, heartbeat, now))

    def _observe_machine(self, machine: Machine, heartbeat: Heartbeat, now: timedelta) -> None:
        if machine.state in (MachineState.BOOTING, MachineState.UNCONFIRMED):
            machine.transition_to(MachineState.UP)
            machine.idle_since = now
            self._events.notify_changed()
        if heartbeat.interruption_notice_s is not None and machine.interruption_at is None:
            log.info(
                "machine %s will be interrupted by the cloud in %.1f s", machine.name, heartbeat.interruption_notice_s
            )
            machine.interruption_at = now + seconds(max(0.0, heartbeat.interruption_notice_s))
            self._events.notify_changed()

    def _reconcile_missing(self, machine: Machine, heartbeat: Heartbeat, now: timedelta) -> bool:
        """Release allocations whose tasks the heartbeat proves absent; return whether a sent start was lost."""
        start_was_lost = False
        for allocation in _missing_allocations(machine, heartbeat):
            if allocation.state in MUST_BE_LISTED:
                # The task was killed when the worker's incarnation ended, or was never started by an earlier leader.
                log.info(
                    "machine %s does not list task %s/%s, which is released",
                    machine.name,
                    allocation.job.id,
                    allocation.task,
                )
                self._release(allocation, now)
            elif allocation.start_sent:
                # The response with its start command was lost, and can no longer be executed.
                allocation.start_sent = False
                start_was_lost = True
        return start_was_lost

    def _observe_state(self, allocation: Allocation, task: TaskStatus, now: timedelta) -> None:
        state = ALLOCATION_STATES.get(task.state)
        if state is None:
            log.info("task %s is listed in the unknown state %r", task.name, task.state)
            return
        if state is not AllocationState.FETCHING:
            allocation.machine.cached_images[allocation.job.spec.image] = allocation.job.spec.image_gb
            if allocation.started_at is None:
                allocation.started_at = now
                _log_start(allocation, now)
        allocation.transition_to(state)

    def _observe_unexpected(self, machine: Machine, task: TaskStatus, now: timedelta) -> list[StopCommand]:
        """Allocate an unrecorded task, so that its resources count as used while it is there, and have it stopped."""
        task_id = task.task_id()
        job = self._job_of(task_id)
        log.info("machine %s lists task %s attempt %s, which is not recorded", machine.name, task.name, task.attempt)
        if task_id is None or job is None or not 0 <= task_id.number < job.task_count:
            return [StopCommand(task.name, task.attempt, 0.0)]
        allocation = self._cluster.allocate(machine, job, task_id.number, task.attempt, AllocationState.UNCONFIRMED)
        allocation.stop_mode = StopMode.KILL
        self._observe_state(allocation, task, now)
        if task_id.number in job.pending_tasks:
            job.pending_tasks.remove(task_id.number)
        return []

    def _observe_exit(self, machine: Machine, allocation: Allocation | None, task: TaskStatus, now: timedelta) -> None:
        task_id = task.task_id()
        job = allocation.job if allocation is not None else self._job_of(task_id)
        if allocation is not None:
            log.debug("task %s on machine %s exited: %s", task.name, machine.name, task.exit_reason)
            self._update_health(machine, allocation, task, now)
        if task.exit_reason == ExitReason.COMPLETED and job is not None and task_id is not None:
            self._record_completion(machine, allocation, job, task_id.number, task.attempt)
        if allocation is not None:
            self._release(allocation, now)

    def _record_completion(
        self, machine: Machine, allocation: Allocation | None, job: Job, number: int, attempt: int
    ) -> None:
        """Make a completion durable; until then the worker must not remove the task."""
        if job.is_service or not 0 <= number < job.task_count or not job.is_open or job.is_done(number):
            return
        job.mark_done(number)
        if allocation is None and number in job.pending_tasks:
            job.pending_tasks.remove(number)
        machine.uncommitted_completions.add(attempt)
        self._completions.record(job, number, partial(machine.uncommitted_completions.discard, attempt))

    def _update_health(self, machine: Machine, allocation: Allocation, task: TaskStatus, now: timedelta) -> None:
        """Update the health of the machine and the job, and record the task's run time."""
        job = allocation.job
        completed = task.exit_reason == ExitReason.COMPLETED
        if job.is_service and (completed or health.has_run_steadily(allocation, now)):
            health.record_replica_end(allocation, now)
        elif completed:
            machine.cached_images[job.spec.image] = job.spec.image_gb
            health.record_success(machine, job)
            if allocation.started_at is not None and allocation.stop_mode is None:
                self._run_times.record(job.spec.job_class, job.spec.expected_run_time_s, now - allocation.started_at)
        elif task.exit_reason == ExitReason.FAILED:
            log.info("task %s failed on machine %s", task.name, machine.name)
            health.record_failure(machine, job, now)
        elif task.exit_reason in START_REFUSALS:
            log.info("machine %s refused to start task %s: %s", machine.name, task.name, task.exit_reason)
            health.record_refusal(job, now)

    def _job_of(self, task_id: TaskId | None) -> Job | None:
        return None if task_id is None else self._cluster.jobs.get(task_id.job_id)

    def _release(self, allocation: Allocation, now: timedelta) -> None:
        self._cluster.release(allocation, now)
        self._events.notify_changed()


def _missing_allocations(machine: Machine, heartbeat: Heartbeat) -> list[Allocation]:
    listed = {task.attempt for task in heartbeat.tasks}
    if machine.allocations.keys() <= listed:
        return []
    return [allocation for attempt, allocation in machine.allocations.items() if attempt not in listed]


def _log_start(allocation: Allocation, now: timedelta) -> None:
    job = allocation.job
    waited_s = (now - job.submitted_at).total_seconds()
    log.debug(
        "task %s/%s runs on machine %s, %.1f s after its job was submitted",
        job.id,
        allocation.task,
        allocation.machine.name,
        waited_s,
    )
