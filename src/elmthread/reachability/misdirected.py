"""Heartbeats that come to a node that does not lead, though their senders know who does.

A leader that keeps the key-value store but loses the workers would lead on while their leases expire,
though they reach other nodes, which can only redirect them. So each node announces to the others
how many machines have come to it in vain, and a sample of them: a late copy of a heartbeat is
older than what the leader has, and shows nothing. What the leader makes of it: `decisions.py`.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from elmthread.common.clock import Clock
from elmthread.net.http_messages import MalformedBodyError, Request, Response, decode_body
from elmthread.peers.messages import LeaderAnnouncement
from elmthread.workers.messages import HeartbeatHeader, redirect_body

# How many machines are named, the last that came.
MAX_SAMPLE = 16
# Above this part of all machines, misdirected heartbeats are many.
MANY_SHARE = 0.1
# From so many, and from such a part of all machines, they are announced at once and not at the next interval.
MIN_URGENT = 2
MIN_URGENT_SHARE = 0.01


class MisdirectedHeartbeat(NamedTuple):
    """A heartbeat that came to a controller because its sender did not reach the leader."""

    machine: str
    incarnation: int
    sequence: int


class Redirection(msgspec.Struct, frozen=True):
    """Where a worker is sent whose heartbeat came to a node that does not lead."""

    # None: the worker turns to the next node by itself.
    leader: str | None

    def response(self) -> Response:
        """Return the response to the worker."""
        return Response(421, redirect_body(self.leader))


class MisdirectedSummary(msgspec.Struct, frozen=True):
    """How many machines came to a node because they did not reach a leader, and some of them."""

    count: int
    sample: list[MisdirectedHeartbeat]


class AnnouncedSummary(msgspec.Struct, frozen=True):
    """What another node has announced, of which term, and when."""

    summary: MisdirectedSummary
    fencing_token: int
    received_at: timedelta


class Arrival(msgspec.Struct, frozen=True):
    """When a machine's last misdirected heartbeat came, and which it was."""

    at: timedelta
    heartbeat: MisdirectedHeartbeat


class MisdirectedHeartbeats:
    """The machines that came here, and what the other nodes say of those that came to them."""

    def __init__(self, clock: Clock, window: timedelta) -> None:
        """`window`: what came longer ago counts no more; a worker tries all nodes in less."""
        self._clock = clock
        self._window = window
        # By machine, and the token of the leader that they all did not reach.
        self._arrivals: dict[str, Arrival] = {}
        self._fencing_token = 0
        # How many machines the leader has.
        self._machine_count = 0
        self._last_announced_count = 0
        # When any heartbeat came here last, whatever token its sender had seen.
        self._last_arrival_at: timedelta | None = None
        self._announced: dict[str, AnnouncedSummary] = {}

    def redirect(self, request: Request, leader: str | None, fencing_token: int) -> Redirection:
        """Return where to send a worker that came here, though this node does not lead.

        A machine that has seen the term that we know of comes from that leader, which it
        did not reach. A single one has lost a response and is sent back at once. If many come, they
        would only wait in vain again until their timeout: they go on to the next node, and by then
        another may lead.
        """
        sender = _sender_of(request)
        if sender is not None:
            self._last_arrival_at = self._clock()
        if leader is None or sender is None or sender.fencing_token != fencing_token:
            return Redirection(leader)
        if fencing_token != self._fencing_token:
            self._arrivals.clear()
            self._last_announced_count = 0
            self._fencing_token = fencing_token
        heartbeat = MisdirectedHeartbeat(sender.machine, sender.incarnation, sender.sequence)
        # Removed first, so that the order is that of the last arrivals.
        self._arrivals.pop(sender.machine, None)
        self._arrivals[sender.machine] = Arrival(self._clock(), heartbeat)
        # One is never many: in a small fleet, trying all nodes in turn would cost it its lease.
        many = max(1.0, self._machine_count * MANY_SHARE)
        return Redirection(leader if len(self._arrivals) <= many else None)

    def summarize(self, fencing_token: int) -> MisdirectedSummary:
        """Return how many machines came here of late because they did not reach that leader, to be announced."""
        if fencing_token != self._fencing_token:
            return MisdirectedSummary(0, [])
        since = self._clock() - self._window
        self._arrivals = {machine: arrival for machine, arrival in self._arrivals.items() if arrival.at > since}
        self._last_announced_count = len(self._arrivals)
        last = list(self._arrivals.values())[-MAX_SAMPLE:]
        return MisdirectedSummary(len(self._arrivals), [arrival.heartbeat for arrival in last])

    def has_recent_heartbeats(self) -> bool:
        """Return whether any machine has come here of late."""
        return self._last_arrival_at is not None and self._clock() - self._last_arrival_at <= self._window

    def should_announce_now(self) -> bool:
        """Return whether so many more machines have come than were announced that lost responses don't explain it."""
        threshold = max(MIN_URGENT, self._machine_count * MIN_URGENT_SHARE, self._last_announced_count * 2)
        return len(self._arrivals) >= threshold

    def observe(self, announcement: LeaderAnnouncement) -> None:
        """Note what another node announces of the machines that came to it, in the term that it knows of."""
        if announcement.machine_count:
            self._machine_count = announcement.machine_count
        sample = [MisdirectedHeartbeat(*heartbeat) for heartbeat in announcement.misdirected_sample]
        summary = MisdirectedSummary(announcement.misdirected_count, sample)
        self._announced[announcement.node] = AnnouncedSummary(summary, announcement.fencing_token, self._clock())

    def estimate_at(self, node: str, fencing_token: int, is_newer: Callable[[MisdirectedHeartbeat], bool]) -> int:
        """Return about how many machines do not reach that leader and reach the node; `is_newer` rules out copies."""
        announced = self._announced.get(node)
        if announced is None or announced.fencing_token != fencing_token:
            return 0
        count, sample = announced.summary.count, announced.summary.sample
        if announced.received_at <= self._clock() - self._window or not sample:
            return 0
        return round(count * sum(map(is_newer, sample)) / len(sample))


def _sender_of(request: Request) -> HeartbeatHeader | None:
    try:
        return msgspec.convert(decode_body(request.body), HeartbeatHeader)
    except (MalformedBodyError, msgspec.ValidationError):
        return None
