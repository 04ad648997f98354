"""Misdirected heartbeats: received by a node that does not lead, from workers that know the leader.

A leader that reaches the key-value store but not the workers would keep leading while their leases expire, although
they reach other nodes, which can only redirect them. Each node therefore announces how many machines sent it
misdirected heartbeats, with a sample of these. The leader uses the sample to rule out delayed copies, which are older
than the heartbeats that it has received; `decisions.py` decides what follows.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from elmthread.common.clock import Clock
from elmthread.net.http_messages import MalformedBodyError, Request, Response, decode_body
from elmthread.peers.messages import LeaderAnnouncement
from elmthread.workers.messages import HeartbeatHeader, redirect_body

# The largest number of heartbeats in an announced sample, taken from the latest ones.
MAX_SAMPLE = 16
# Workers are redirected to the leader only while at most this share of all machines sends misdirected heartbeats.
MAX_REDIRECTED_SHARE = 0.1
# Once at least this number and this share of all machines send misdirected heartbeats, these are announced
# immediately instead of at the next interval.
MIN_URGENT_COUNT = 2
MIN_URGENT_SHARE = 0.01


class MisdirectedHeartbeat(NamedTuple):
    """A heartbeat sent to another controller because its sender could not reach the leader."""

    machine: str
    incarnation: int
    sequence: int


class Redirection(msgspec.Struct, frozen=True):
    """The redirection of a worker whose heartbeat was received by a node that does not lead."""

    # If None, the worker tries the next node on its own.
    leader: str | None

    def response(self) -> Response:
        """Return the HTTP response for the worker."""
        return Response(421, redirect_body(self.leader))


class MisdirectedSummary(msgspec.Struct, frozen=True):
    """The number of machines that sent a node misdirected heartbeats, with a sample of the heartbeats."""

    count: int
    sample: list[MisdirectedHeartbeat]


class AnnouncedSummary(msgspec.Struct, frozen=True):
    """A summary announced by another node, with its term and the time at which it was received."""

    summary: MisdirectedSummary
    fencing_token: int
    received_at: timedelta


class Arrival(msgspec.Struct, frozen=True):
    """A machine's last misdirected heartbeat and the time at which it arrived."""

    at: timedelta
    heartbeat: MisdirectedHeartbeat


class MisdirectedHeartbeats:
    """The misdirected heartbeats received by this node, and the summaries that the other nodes announced."""

    def __init__(self, clock: Clock, window: timedelta) -> None:
        """Ignore heartbeats and summaries older than `window`, in which a worker can try all nodes."""
        self._clock = clock
        self._window = window
        # By machine, and the token of the leader that these machines could not reach.
        self._arrivals: dict[str, Arrival] = {}
        self._fencing_token = 0
        # The number of machines in the cluster, as the leader announces it.
        self._machine_count = 0
        self._last_announced_count = 0
        # When this node last received any heartbeat while not leading, whichever token its sender had seen.
        self._last_arrival_at: timedelta | None = None
        self._announced: dict[str, AnnouncedSummary] = {}

    def redirect(self, request: Request, leader: str | None, fencing_token: int) -> Redirection:
        """Return where to redirect a worker whose heartbeat this node received while not leading.

        A worker that has already seen the known leader's term could not reach that leader. A few such workers have
        probably lost a response and are sent back to it. If there are many, they would only wait for another timeout
        there, so they try the next node instead; by then there may be another leader.
        """
        sender = _decode_sender(request)
        if sender is not None:
            self._last_arrival_at = self._clock()
        if leader is None or sender is None or sender.fencing_token != fencing_token:
            return Redirection(leader)
        if fencing_token != self._fencing_token:
            self._arrivals.clear()
            self._last_announced_count = 0
            self._fencing_token = fencing_token
        heartbeat = MisdirectedHeartbeat(sender.machine, sender.incarnation, sender.sequence)
        # Removed first, so that the dict is ordered by the time of the last arrival.
        self._arrivals.pop(sender.machine, None)
        self._arrivals[sender.machine] = Arrival(self._clock(), heartbeat)
        # A single worker is always sent back: in a small cluster, its lease could expire while it tries all nodes.
        max_redirected = max(1.0, self._machine_count * MAX_REDIRECTED_SHARE)
        return Redirection(leader if len(self._arrivals) <= max_redirected else None)

    def summarize(self, fencing_token: int) -> MisdirectedSummary:
        """Return the summary of recent misdirected heartbeats in the term of that token, for an announcement."""
        if fencing_token != self._fencing_token:
            return MisdirectedSummary(0, [])
        since = self._clock() - self._window
        self._arrivals = {machine: arrival for machine, arrival in self._arrivals.items() if arrival.at > since}
        self._last_announced_count = len(self._arrivals)
        latest = list(self._arrivals.values())[-MAX_SAMPLE:]
        return MisdirectedSummary(len(self._arrivals), [arrival.heartbeat for arrival in latest])

    def has_recent_heartbeats(self) -> bool:
        """Return whether this node received any heartbeat recently while not leading."""
        return self._last_arrival_at is not None and self._clock() - self._last_arrival_at <= self._window

    def should_announce_now(self) -> bool:
        """Return whether more machines have arrived since the last announcement than lost responses can explain."""
        threshold = max(MIN_URGENT_COUNT, self._machine_count * MIN_URGENT_SHARE, self._last_announced_count * 2)
        return len(self._arrivals) >= threshold

    def observe(self, announcement: LeaderAnnouncement) -> None:
        """Record the misdirected heartbeats that another node announces, with the term that it knows."""
        if announcement.machine_count:
            self._machine_count = announcement.machine_count
        sample = [MisdirectedHeartbeat(*heartbeat) for heartbeat in announcement.misdirected_sample]
        summary = MisdirectedSummary(announcement.misdirected_count, sample)
        self._announced[announcement.node] = AnnouncedSummary(summary, announcement.fencing_token, self._clock())

    def estimate_at(self, node: str, fencing_token: int, is_newer: Callable[[MisdirectedHeartbeat], bool]) -> int:
        """Estimate how many machines reach the node but not the leader; `is_newer` rules out delayed copies."""
        announced = self._announced.get(node)
        if announced is None or announced.fencing_token != fencing_token:
            return 0
        count, sample = announced.summary.count, announced.summary.sample
        if announced.received_at <= self._clock() - self._window or not sample:
            return 0
        return round(count * sum(map(is_newer, sample)) / len(sample))


def _decode_sender(request: Request) -> HeartbeatHeader | None:
    try:
        return msgspec.convert(decode_body(request.body), HeartbeatHeader)
    except (MalformedBodyError, msgspec.ValidationError):
        return None
