"""Whether the leader's responses reach a machine, as far as its heartbeats show.

A machine's incarnation rises when no response has arrived for a lease; a start that the next
heartbeat does not list was in a response that got lost. An incarnation that outlasts a lease
proves that responses arrive. So does a heartbeat on a connection on which a response has been
sent since the incarnation rose, unless starts were lost on the machine before.
"""

import logging
from datetime import timedelta

from elmthread.cluster.machine import Machine
from elmthread.common.clock import at_least, seconds
from elmthread.workers.messages import HEARTBEAT_RESPONSE_TIMEOUT, Heartbeat

log = logging.getLogger(__name__)

# Responses in a row whose starts were lost, before responses count as not received.
MAX_LOST_STARTS = 3
# Beyond a lease, for differences between clocks.
PROOF_MARGIN = seconds(1)


class ResponsivenessMonitor:
    """Keeps `responses_lost_since` and what belongs to it of each machine that sends heartbeats."""

    def __init__(self, lease: timedelta) -> None:
        """`lease` is the workers' lease: how long a worker goes on without a response."""
        self._proof_time = at_least(lease) + PROOF_MARGIN

    def observe_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, answered_at: timedelta | None, now: timedelta
    ) -> None:
        """Judge a heartbeat that is newer than the machine's last one, which `machine` still holds.

        `answered_at`: when the last response was sent on the same connection, if any was.
        """
        machine.receives_responses = answered_at is not None or _follows_at_once(machine, heartbeat, now)
        if heartbeat.incarnation != machine.last_heartbeat_id.incarnation:
            if machine.last_heartbeat_at is not None:
                log.info("%s has let its lease expire; it gets no new tasks until it receives responses", machine.name)
                machine.responses_lost_since = machine.responses_lost_since or now
            machine.incarnation_since = now
        elif machine.responses_lost_since is not None and self._responses_arrive(machine, answered_at, now):
            log.info("%s receives responses again", machine.name)
            machine.responses_lost_since = None
            machine.undelivered_starts = 0

    def observe_starts(self, machine: Machine, start_was_lost: bool, now: timedelta) -> None:
        """Judge by whether a start in the last response got lost."""
        machine.undelivered_starts = machine.undelivered_starts + 1 if start_was_lost else 0
        if machine.undelivered_starts >= MAX_LOST_STARTS and machine.responses_lost_since is None:
            log.info(
                "%s does not execute start commands; it gets no new tasks until it receives responses", machine.name
            )
            machine.responses_lost_since = now

    def _responses_arrive(self, machine: Machine, answered_at: timedelta | None, now: timedelta) -> bool:
        assert machine.responses_lost_since is not None
        if now - max(machine.incarnation_since, machine.responses_lost_since) > self._proof_time:
            return True
        return (
            machine.undelivered_starts < MAX_LOST_STARTS
            and answered_at is not None
            and answered_at > machine.incarnation_since
        )


def _follows_at_once(machine: Machine, heartbeat: Heartbeat, now: timedelta) -> bool:
    """Return whether this is the very next heartbeat, sooner than after a response that did not come.

    A worker that gets no response turns to another node and comes back later than that.
    """
    return (
        machine.last_heartbeat_at is not None
        and heartbeat.sequence == machine.last_heartbeat_id.sequence + 1
        and now - machine.last_heartbeat_at < HEARTBEAT_RESPONSE_TIMEOUT
    )
