"""Detects machines that send heartbeats but do not receive the leader's responses.

A worker starts a new incarnation when no response has arrived for the duration of a worker lease, and may start
one when it restarts. If the heartbeat after a start command does not list the task, the response with the command
was lost. An incarnation that lasts longer than a lease proves that responses arrive. So does a heartbeat on a
connection on which a response has been sent since the incarnation began, unless the machine has repeatedly lost
start commands.
"""

import logging
from datetime import timedelta

from elmthread.cluster.machine import Machine
from elmthread.common.clock import extend_for_drift, seconds
from elmthread.workers.messages import HEARTBEAT_RESPONSE_TIMEOUT, Heartbeat

log = logging.getLogger(__name__)

# After this many consecutive responses with lost start commands, a machine is taken not to receive responses.
MAX_LOST_STARTS = 3
# Added to the lease duration, which is extended for clock drift, as a further tolerance for clock differences.
RECOVERY_MARGIN = seconds(1)


class ResponsivenessMonitor:
    """Maintains `responses_lost_since`, and the fields that it depends on, of each machine."""

    def __init__(self, lease: timedelta) -> None:
        """Create a monitor; `lease` is how long a worker runs its tasks without a response."""
        self._recovery_time = extend_for_drift(lease) + RECOVERY_MARGIN

    def observe_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, responded_at: timedelta | None, now: timedelta
    ) -> None:
        """Update the machine from a heartbeat that is newer than the last one, which `machine` still holds.

        `responded_at` is when the last response was sent on the same connection, None if none was.
        """
        machine.receives_responses = responded_at is not None or _follows_without_timeout(machine, heartbeat, now)
        if heartbeat.incarnation != machine.last_heartbeat_id.incarnation:
            if machine.last_heartbeat_at is not None:
                log.info(
                    "machine %s restarted or let its lease expire; it gets no new tasks until it receives responses",
                    machine.name,
                )
                machine.responses_lost_since = machine.responses_lost_since or now
            machine.incarnation_since = now
        elif machine.responses_lost_since is not None and self._responses_arrive(machine, responded_at, now):
            log.info("machine %s receives responses again", machine.name)
            machine.responses_lost_since = None
            machine.undelivered_starts = 0

    def observe_starts(self, machine: Machine, start_was_lost: bool, now: timedelta) -> None:
        """Count consecutive responses with lost start commands, and mark the machine at MAX_LOST_STARTS."""
        machine.undelivered_starts = machine.undelivered_starts + 1 if start_was_lost else 0
        if machine.undelivered_starts >= MAX_LOST_STARTS and machine.responses_lost_since is None:
            log.info(
                "machine %s does not execute start commands; it gets no new tasks until it receives responses",
                machine.name,
            )
            machine.responses_lost_since = now

    def _responses_arrive(self, machine: Machine, responded_at: timedelta | None, now: timedelta) -> bool:
        assert machine.responses_lost_since is not None
        if now - max(machine.incarnation_since, machine.responses_lost_since) > self._recovery_time:
            return True
        return (
            machine.undelivered_starts < MAX_LOST_STARTS
            and responded_at is not None
            and responded_at > machine.incarnation_since
        )


def _follows_without_timeout(machine: Machine, heartbeat: Heartbeat, now: timedelta) -> bool:
    """Return whether this heartbeat follows the last one without a response timeout in between.

    A worker that gets no response tries another node first, and returns after the timeout at the earliest.
    """
    return (
        machine.last_heartbeat_at is not None
        and heartbeat.sequence == machine.last_heartbeat_id.sequence + 1
        and now - machine.last_heartbeat_at < HEARTBEAT_RESPONSE_TIMEOUT
    )
