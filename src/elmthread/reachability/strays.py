"""Reports that come to a node that does not lead, though their senders know who does.

A leader that keeps the state service but loses the workers would lead on while their leases run
out, though they reach other nodes, which can only send them back. So each node tells the others
how many machines have come to it in vain, and names a few of them: a late copy of a report is
older than what the leader has, and shows nothing. What the leader makes of it: `decide.py`.
"""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from elmthread.common.clock import Clock
from elmthread.net.http_messages import MalformedBodyError, Request, Response, decode_body
from elmthread.workers.messages import Sender, redirect_body

# How many machines are named, the last that came.
SOME = 16
# Strays are many from this part of all machines on.
MANY = 0.1
# So many, and such a part of all machines, are told of at once and not with the next announcement.
FEW = 2
FEW_PART = 0.01

Stray = tuple[str, int, int]


class MisdirectedReports:
    """The machines that came here, and what the other nodes say of those that came to them."""

    def __init__(self, clock: Clock, window: timedelta) -> None:
        """`window`: what came longer ago counts no more."""
        self._clock = clock
        # A worker makes the round of all nodes in less.
        self._window = window
        # By machine: when it came, its session and sequence; all missed this leadership.
        self._came: dict[str, tuple[timedelta, int, int]] = {}
        self._missed = 0
        # That the leader has.
        self._machines = 0
        # How many had come when the others were last told.
        self._told_count = 0
        # When any report came here last, whatever its sender had missed.
        self._arrived_at: timedelta | None = None
        # By node: how many came to it, some of them, the leadership that they missed, and when it said so.
        self._told: dict[str, tuple[int, list[Stray], int, timedelta]] = {}

    def redirect(self, request: Request, leader: str | None, fencing_token: int) -> Response:
        """A report that came here, though this node does not lead.

        A machine that has seen the leadership that we know of comes from that leader, which it
        did not reach. One alone has lost an answer and is sent back at once. If many come, they
        would only wait in vain again, for four seconds: they go on to the next node, and by then
        another may lead.
        """
        try:
            sender = msgspec.convert(decode_body(request.body), Sender)
        except (MalformedBodyError, msgspec.ValidationError):
            sender = None
        if sender is not None:
            self._arrived_at = self._clock()
        if leader is None or sender is None or sender.fencing_token != fencing_token:
            return Response(421, redirect_body(leader))
        if fencing_token != self._missed:
            self._came.clear()
            self._told_count = 0
            self._missed = fencing_token
        # Taken out first: the last that came stand last.
        self._came.pop(sender.machine, None)
        self._came[sender.machine] = (self._clock(), sender.incarnation, sender.sequence)
        # One is never many: in a small fleet, the round of all nodes would cost it its lease.
        many = max(1.0, self._machines * MANY)
        return Response(421, redirect_body(leader if len(self._came) <= many else None))

    def strays(self, fencing_token: int) -> tuple[int, list[Stray]]:
        """How many machines came here of late because they did not reach that leader, and some of them."""
        if fencing_token != self._missed:
            return 0, []
        since = self._clock() - self._window
        self._came = {machine: seen for machine, seen in self._came.items() if seen[0] > since}
        self._told_count = len(self._came)
        last = list(self._came.items())[-SOME:]
        return len(self._came), [(machine, incarnation, sequence) for machine, (_, incarnation, sequence) in last]

    def hears_workers(self) -> bool:
        """Whether any machine has come here of late."""
        return self._arrived_at is not None and self._clock() - self._arrived_at <= self._window

    def worth_telling(self) -> bool:
        """Twice as many machines have come as the others were told of: more than single lost answers explain."""
        return len(self._came) >= max(FEW, self._machines * FEW_PART, self._told_count * 2)

    def hear(self, node: str, strays: int, some: list[Stray], fencing_token: int, machines: int) -> None:
        """Another node says who came to it, in the leadership that it knows of."""
        if machines:
            self._machines = machines
        self._told[node] = (strays, some, fencing_token, self._clock())

    def heard_by(self, node: str, fencing_token: int, is_news: Callable[[Stray], bool]) -> int:
        """About how many machines miss that leader and reach the node; `is_news` tells old copies."""
        told = self._told.get(node)
        if told is None:
            return 0
        count, some, missed, at = told
        if missed != fencing_token or at <= self._clock() - self._window or not some:
            return 0
        return round(count * sum(map(is_news, some)) / len(some))
