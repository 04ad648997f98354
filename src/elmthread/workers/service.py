"""Workers' reports: what is on each machine, and the commands that follow from it.

Commands go out only in the answers to reports. A worker drops an answer that comes late,
so a start is never executed after the worker's next report was made: if that report does
not list the task, the task is not there. What should be there is said again in each answer
until a report shows it. That is why no start is ever sent straight to a worker's address.
"""

import logging
from datetime import timedelta
from typing import Any

import msgspec

from elmthread.cluster import health
from elmthread.cluster.allocation import SEEN, Allocation, AllocationState, StopMode
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.common.clock import at_least, seconds
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import MalformedBodyError, Request, Response, decode_body, retry_later
from elmthread.persistence.assignments import Assignments
from elmthread.persistence.completions import CompletionRecorder
from elmthread.workers import messages
from elmthread.workers.messages import HEARTBEAT_RESPONSE_TIMEOUT, Heartbeat, Task

log = logging.getLogger(__name__)

MOST_ORDERS = 300
START_WAIT = seconds(0.4)
# Answers that started something in vain, one after the other, before a machine is taken for deaf.
MISSED = 3
STATES = {
    "fetching": AllocationState.FETCHING,
    "running": AllocationState.RUNNING,
    "saving": AllocationState.CHECKPOINTING,
}


class HeartbeatHandler:
    def __init__(
        self,
        context: TermContext,
        assignments: Assignments,
        completions: CompletionRecorder,
        catalog: MachineTypeCatalog,
        run_times: RunTimeModel,
        leases: WorkerLeases,
    ) -> None:
        """`completions` records done tasks; `run_times` learns how long they ran."""
        self._cluster = context.cluster
        self._term = context.term
        self._events = context.events
        self._clock = context.clock
        self._assignments = assignments
        self._completions = completions
        self._catalog = catalog
        self._run_times = run_times
        # A session this old, by our clock, has had answers.
        self._proof = at_least(leases.duration) + seconds(1)
        self.dropped = 0

    # Reports

    async def heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = messages.read_heartbeat(decode_body(request.body))
        except (MalformedBodyError, msgspec.ValidationError) as error:
            self.dropped += 1
            log.info("report dropped (%s so far): %s", self.dropped, error)
            return Response(400, {"error": "malformed report"})
        if heartbeat.fencing_token > self._term.fencing_token:
            self._term.observe_token(heartbeat.fencing_token)
        if not self._term.may_answer_workers():
            return Response(421, messages.elsewhere(self._term.leader))
        if heartbeat.machine in self._cluster.deleted_machines:
            # Its deletion was answered: a late report of a machine that is no more.
            return retry_later(503, seconds(1), "machine is gone")
        machine = self._cluster.machines.get(heartbeat.machine) or self._adopt(heartbeat)
        if (
            heartbeat.incarnation,
            heartbeat.sequence,
        ) <= machine.last_heartbeat_id or heartbeat.incarnation <= machine.expired_incarnation:
            self.dropped += 1
            return retry_later(503, seconds(1), "an older report")
        now = self._clock()
        if heartbeat.fencing_token < self._term.fencing_token:
            # The first answer carries our token; what the next report lists, no earlier
            # leader can change any more. Until then this may be a late copy of a report that
            # an earlier leader has had: it is no sign of life.
            machine.last_heartbeat_id = (heartbeat.incarnation, heartbeat.sequence)
            return self._answer(machine, self._over(heartbeat))
        self._listen(machine, heartbeat, request.previous_answered_at, now)
        machine.last_heartbeat_id = (heartbeat.incarnation, heartbeat.sequence)
        machine.last_heartbeat_at = now
        machine.heartbeat_overdue = False
        exits, commands = self._take(machine, heartbeat, now)
        if machine.is_schedulable and self._may_come(machine):
            await self._assignments.wait_for(machine, START_WAIT)
            if not self._term.may_answer_workers():
                return Response(421, messages.elsewhere(self._term.leader))
        commands += [
            messages.reap(task.name, task.attempt)
            for task in exits
            if task.attempt not in machine.uncommitted_completions
        ]
        commands += self._commands(machine)
        return self._answer(machine, commands[:MOST_ORDERS])

    def _over(self, heartbeat: Heartbeat) -> list[dict[str, Any]]:
        """Stops of what belongs to jobs that are over: right whenever the report was made.

        An answer renews the lease. If leaders changed so often that each only gave its token,
        cancelled tasks would run on.
        """
        stops = []
        for task in heartbeat.tasks:
            name = task.split()
            job = self._cluster.jobs.get(name[0]) if name and task.state != "exited" else None
            if job is not None and not job.is_open:
                stops.append(messages.halt(task.name, task.attempt, 0.0))
        return stops[:MOST_ORDERS]

    def _answer(self, machine: Machine, commands: list[dict[str, Any]]) -> Response:
        machine.last_response_at = self._clock()
        body = messages.orders(self._term.fencing_token, commands)
        # Judged once more when the bytes leave: a start sent after the lease is one too many.
        starts = any(command["verb"] == messages.START for command in commands)
        return Response(200, body, precondition=self._term.holds_lease if starts else self._term.may_answer_workers)

    def _adopt(self, heartbeat: Heartbeat) -> Machine:
        """A machine nobody told us of: rented by a late request or by an earlier leader."""
        machine = Machine(
            heartbeat.machine,
            InstanceKind(heartbeat.machine_type, heartbeat.zone, heartbeat.spot),
            MachineState.UNCONFIRMED,
            self._clock(),
        )
        self._catalog.apply_to(machine)
        self._cluster.add_machine(machine)
        return machine

    def _listen(self, machine: Machine, heartbeat: Heartbeat, answered_at: timedelta | None, now: timedelta) -> None:
        """Whether our answers reach the machine, as far as its reports show.

        A session rises when no answer has arrived for a lease; a start that the next report
        does not list was in an answer that got lost. A session that outlasts a lease proves
        that answers arrive. So does a report on a connection on which an answer went out since
        the session rose, unless answers have come before and nothing was done for them.
        """
        # A worker that waits in vain for an answer turns to another node, and is not here again so soon.
        last_heartbeat_at = machine.last_heartbeat_at
        machine.receives_responses = answered_at is not None or (
            last_heartbeat_at is not None
            and heartbeat.sequence == machine.last_heartbeat_id[1] + 1
            and now - last_heartbeat_at < HEARTBEAT_RESPONSE_TIMEOUT
        )
        incarnation = machine.last_heartbeat_id[0]
        if heartbeat.incarnation != incarnation:
            if machine.last_heartbeat_at is not None:
                log.info("%s has let its lease run out: nothing new until answers are seen to arrive", machine.name)
                machine.responses_lost_since = machine.responses_lost_since or now
            machine.incarnation_since = now
        elif machine.responses_lost_since is not None and (
            now - max(machine.incarnation_since, machine.responses_lost_since) > self._proof
            or (
                machine.undelivered_starts < MISSED
                and answered_at is not None
                and answered_at > machine.incarnation_since
            )
        ):
            log.info("%s hears our answers again", machine.name)
            machine.responses_lost_since = None
            machine.undelivered_starts = 0

    def _may_come(self, machine: Machine) -> bool:
        """Starts are being made durable for it, or it has room and there is work that waits."""
        return (machine.cpus - machine.cpus_used >= 1.0 and self._cluster.has_waiting_tasks) or any(
            allocation.state is AllocationState.PLANNED for allocation in machine.allocations.values()
        )

    # What a report says

    def _take(self, machine: Machine, heartbeat: Heartbeat, now: timedelta) -> tuple[list[Task], list[dict[str, Any]]]:
        """Takes in what the report lists.

        Returns the exited tasks, to be forgotten when that is safe, and stops of what nobody knows.
        """
        if machine.state in (MachineState.BOOTING, MachineState.UNCONFIRMED):
            machine.transition_to(MachineState.UP)
            machine.idle_since = now
            self._events.notify_changed()
        if heartbeat.interruption_notice_s is not None and machine.interruption_at is None:
            log.info("%s will be taken in %.1f s", machine.name, heartbeat.interruption_notice_s)
            machine.interruption_at = now + seconds(max(0.0, heartbeat.interruption_notice_s))
            self._events.notify_changed()
        exits: list[Task] = []
        stops: list[dict[str, Any]] = []
        for task in heartbeat.tasks:
            allocation = machine.allocations.get(task.attempt)
            if allocation is not None and STATES.get(task.state) is allocation.state:
                # As the last report had it: so it is with most of what is listed.
                continue
            if task.state == "exited":
                self._exited(machine, allocation, task, now)
                exits.append(task)
            elif allocation is not None:
                self._seen(allocation, task, now)
            else:
                stops += self._unexpected(machine, task, now)
        lost = False
        for allocation in self._not_listed(machine, heartbeat):
            if allocation.state in _MUST_BE_LISTED:
                # Killed with its session, or never sent by the leader before us.
                log.info("%s no longer has %s/%s", machine.name, allocation.job.id, allocation.task)
                self._drop(allocation, now)
            elif allocation.start_sent:
                # The answer that carried its start was lost, and won't be executed any more.
                allocation.start_sent = False
                lost = True
        machine.undelivered_starts = machine.undelivered_starts + 1 if lost else 0
        if machine.undelivered_starts >= MISSED and machine.responses_lost_since is None:
            log.info("%s does not start what it is told to: nothing new until answers are seen to arrive", machine.name)
            machine.responses_lost_since = now
        return exits, stops

    def _not_listed(self, machine: Machine, heartbeat: Heartbeat) -> list[Allocation]:
        listed = {task.attempt for task in heartbeat.tasks}
        if machine.allocations.keys() <= listed:
            return []
        return [allocation for attempt, allocation in machine.allocations.items() if attempt not in listed]

    def _seen(self, allocation: Allocation, task: Task, now: timedelta) -> None:
        state = STATES.get(task.state)
        if state is None:
            log.info("unknown task state %r", task.state)
            return
        if state is not AllocationState.FETCHING:
            allocation.machine.cached_images[allocation.job.spec.image] = allocation.job.spec.image_gb
            if allocation.started_at is None:
                allocation.started_at = now
                waited = (now - allocation.job.submitted_at).total_seconds()
                log.debug(
                    "%s/%s runs on %s after %.1f s", allocation.job.id, allocation.task, allocation.machine.name, waited
                )
        allocation.transition_to(state)

    def _unexpected(self, machine: Machine, task: Task, now: timedelta) -> list[dict[str, Any]]:
        """A running task that no record names: counted while it is there, and stopped."""
        name = task.split()
        job = self._cluster.jobs.get(name[0]) if name else None
        log.info("%s has %s attempt %s, which is not recorded", machine.name, task.name, task.attempt)
        if name is None or job is None or not 0 <= name[1] < job.task_count:
            return [messages.halt(task.name, task.attempt, 0.0)]
        allocation = self._cluster.allocate(machine, job, name[1], task.attempt, AllocationState.UNCONFIRMED)
        allocation.stop_mode = StopMode.KILL
        self._seen(allocation, task, now)
        if name[1] in job.pending_tasks:
            job.pending_tasks.remove(name[1])
        return []

    def _exited(self, machine: Machine, allocation: Allocation | None, task: Task, now: timedelta) -> None:
        """Takes in the end of a task. While it stands in `uncommitted_completions`, the worker must not forget it."""
        name = task.split()
        job = allocation.job if allocation is not None else self._cluster.jobs.get(name[0]) if name else None
        if allocation is not None:
            log.debug("%s on %s ended: %s", task.name, machine.name, task.why)
            self._learn(machine, allocation, task, now)
        if (
            task.why == "done"
            and job is not None
            and not job.is_service
            and name is not None
            and 0 <= name[1] < job.task_count
        ):
            index = name[1]
            if job.is_open and not job.is_done(index):
                job.mark_done(index)
                if allocation is None and index in job.pending_tasks:
                    job.pending_tasks.remove(index)
                machine.uncommitted_completions[task.attempt] = (job.id, index)

                def durable() -> None:
                    machine.uncommitted_completions.pop(task.attempt, None)

                self._completions.record(job, index, durable)
        if allocation is not None:
            self._drop(allocation, now)

    def _learn(self, machine: Machine, allocation: Allocation, task: Task, now: timedelta) -> None:
        job = allocation.job
        if job.is_service and (task.why == "done" or health.has_run_steadily(allocation, now)):
            health.record_replica_end(allocation, now)
        elif task.why == "done":
            machine.cached_images[job.spec.image] = job.spec.image_gb
            health.record_success(machine, job)
            if allocation.started_at is not None and allocation.stop_mode is None:
                self._run_times.saw(job.spec.job_class, job.spec.expected_run_time_s, now - allocation.started_at)
        elif task.why == "error":
            log.info("%s failed on %s", task.name, machine.name)
            health.record_failure(machine, job, now)
        elif task.why in ("no_room", "in_use", "no_such"):
            log.info("%s refused %s: %s", machine.name, task.name, task.why)
            health.record_refusal(job, now)

    def _drop(self, allocation: Allocation, now: timedelta) -> None:
        self._cluster.release(allocation, now)
        self._events.notify_changed()

    # What the worker is told

    def _commands(self, machine: Machine) -> list[dict[str, Any]]:
        leads = self._term.holds_lease()
        commands: list[dict[str, Any]] = []
        starts: list[dict[str, Any]] = []
        now = self._clock()
        for allocation in list(machine.allocations.values()):
            job = allocation.job
            if not job.is_open or job.is_done(allocation.task):
                allocation.stop_mode = StopMode.KILL
            elif (
                allocation.stop_mode is None
                and allocation.state is not AllocationState.PLANNED
                and allocation.state is not AllocationState.COMMITTED
            ):
                # It runs, and is to run on: so it is with most.
                continue
            name = messages.task_name(job.id, allocation.task)
            unwanted = (
                allocation.stop_mode is not None
                or machine.state is not MachineState.UP
                or machine.responses_lost_since is not None
            )
            if (
                unwanted
                and allocation.state in (AllocationState.PLANNED, AllocationState.COMMITTED)
                and not allocation.start_sent
            ):
                # No start is on its way, so it is surely not there.
                self._drop(allocation, now)
            elif allocation.stop_mode is not None:
                grace = (
                    job.spec.checkpoint_duration_s
                    if allocation.stop_mode is StopMode.CHECKPOINT and job.spec.makes_checkpoints
                    else 0.0
                )
                commands.append(messages.halt(name, allocation.attempt, grace))
            elif allocation.state is AllocationState.COMMITTED and leads and not unwanted:
                allocation.start_sent = True
                starts.append(messages.start(name, allocation.attempt))
        return commands + starts


# An allocation in one of these states that a report leaves out is not on the machine.
_MUST_BE_LISTED = SEEN | {AllocationState.UNCONFIRMED}
