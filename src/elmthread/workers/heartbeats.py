"""Handles workers' heartbeats: rejects outdated ones, applies the others, and responds with commands."""

import logging

import msgspec

from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import HeartbeatId, InstanceKind, Machine, MachineState
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import MalformedBodyError, Request, Response, decode_body, retry_later
from elmthread.persistence.assignments import AssignmentRecorder
from elmthread.workers import messages
from elmthread.workers.commands import MAX_COMMANDS_PER_RESPONSE, CommandPlanner
from elmthread.workers.messages import Command, Heartbeat, HeartbeatResponse, StartCommand
from elmthread.workers.reconciliation import HeartbeatReconciler
from elmthread.workers.responsiveness import ResponsivenessMonitor

log = logging.getLogger(__name__)

# A response is delayed by up to this long for assignments that are about to become durable.
ASSIGNMENT_WAIT = seconds(0.4)
RETRY_AFTER = seconds(1)


class HeartbeatHandler:
    """Handles heartbeats during one term."""

    def __init__(
        self,
        context: TermContext,
        reconciler: HeartbeatReconciler,
        assignments: AssignmentRecorder,
        catalog: MachineTypeCatalog,
        leases: WorkerLeases,
    ) -> None:
        """Create a handler; `catalog` gives the sizes of adopted machines, `leases` the worker lease duration."""
        self._cluster = context.cluster
        self._term = context.term
        self._clock = context.clock
        self._reconciler = reconciler
        self._assignments = assignments
        self._catalog = catalog
        self._commands = CommandPlanner(context)
        self._responsiveness = ResponsivenessMonitor(leases.duration)
        self._rejected_count = 0

    async def handle(self, request: Request) -> Response:
        """Return the response to a heartbeat.

        For a schedulable machine, it is delayed by up to ASSIGNMENT_WAIT if assignments are becoming durable, or if
        the machine has a free CPU and tasks are waiting.
        """
        try:
            heartbeat = messages.read_heartbeat(decode_body(request.body))
        except (MalformedBodyError, msgspec.ValidationError) as error:
            self._rejected_count += 1
            log.info(
                "malformed heartbeat rejected (%s malformed or outdated ones so far): %s", self._rejected_count, error
            )
            return Response(400, {"error": "malformed report"})
        if heartbeat.fencing_token > self._term.fencing_token:
            self._term.observe_token(heartbeat.fencing_token)
        if not self._term.may_answer_workers():
            return self._redirect()
        if heartbeat.machine in self._cluster.deleted_machines:
            # A late heartbeat: the cloud has confirmed the machine's deletion.
            return retry_later(503, RETRY_AFTER, "machine is gone")
        machine = self._cluster.machines.get(heartbeat.machine) or self._adopt(heartbeat)
        heartbeat_id = HeartbeatId(heartbeat.incarnation, heartbeat.sequence)
        if heartbeat_id <= machine.last_heartbeat_id or heartbeat.incarnation <= machine.expired_incarnation:
            self._rejected_count += 1
            return retry_later(503, RETRY_AFTER, "an older report")
        if heartbeat.fencing_token < self._term.fencing_token:
            # The first response delivers this term's fencing token, after which no earlier leader can change
            # what the worker runs. Until then, this may be a delayed copy of a heartbeat to an earlier leader,
            # so it does not prove that the machine is alive.
            machine.last_heartbeat_id = heartbeat_id
            return self._respond(machine, self._commands.stops_of_closed_jobs(heartbeat))
        return await self._handle_current(machine, heartbeat, heartbeat_id, request)

    async def _handle_current(
        self, machine: Machine, heartbeat: Heartbeat, heartbeat_id: HeartbeatId, request: Request
    ) -> Response:
        """Handle the newest heartbeat of a machine that has received this term's fencing token."""
        now = self._clock()
        self._responsiveness.observe_heartbeat(machine, heartbeat, request.previous_response_at, now)
        machine.last_heartbeat_id = heartbeat_id
        machine.last_heartbeat_at = now
        machine.heartbeat_overdue = False
        result = self._reconciler.reconcile(machine, heartbeat, now)
        self._responsiveness.observe_starts(machine, result.start_was_lost, now)
        if machine.is_schedulable and self._expects_assignments(machine):
            await self._assignments.wait_until_durable(machine, ASSIGNMENT_WAIT)
            if not self._term.may_answer_workers():
                return self._redirect()
        removals = self._commands.removals_of(machine, result.exited)
        commands = [*result.stops, *removals, *self._commands.commands_for(machine)]
        return self._respond(machine, commands[:MAX_COMMANDS_PER_RESPONSE])

    def _respond(self, machine: Machine, commands: list[Command]) -> Response:
        machine.last_response_at = self._clock()
        body = msgspec.to_builtins(HeartbeatResponse(self._term.fencing_token, commands))
        # Checked again right before sending: no start command may be sent after the leader lease has expired.
        has_start = any(isinstance(command, StartCommand) for command in commands)
        return Response(200, body, precondition=self._term.holds_lease if has_start else self._term.may_answer_workers)

    def _redirect(self) -> Response:
        return Response(421, messages.redirect_body(self._term.leader))

    def _adopt(self, heartbeat: Heartbeat) -> Machine:
        """Add a machine that was requested by an earlier leader, or by a request whose outcome is unknown."""
        machine = Machine(
            heartbeat.machine,
            InstanceKind(heartbeat.machine_type, heartbeat.zone, heartbeat.spot),
            MachineState.UNCONFIRMED,
            self._clock(),
        )
        self._catalog.add_machine(machine)
        return machine

    def _expects_assignments(self, machine: Machine) -> bool:
        """Return whether assignments are becoming durable, or the machine has a free CPU and tasks are waiting."""
        return (machine.free_cpus >= 1.0 and self._cluster.has_waiting_tasks) or any(
            allocation.state is AllocationState.PLANNED for allocation in machine.allocations.values()
        )
