"""Whether the workers reach the node that leads.

A leader that keeps the state service but loses the workers would lead on while their leases run
out, though they reach other nodes, which can only send them back. So each node tells the others
how many machines have come to it in vain, and a leader that most machines don't reach, while
another node is reached, gives way to it. It says which a few of them were: a late copy of a
report is older than what the leader has, and shows nothing.
"""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from elmthread.agents.messages import Sender, elsewhere
from elmthread.common.clock import Clock
from elmthread.common.http import MalformedBodyError, Request, Response, decode

# How many machines are named, the last that came.
SOME = 16
# Strays are many from this part of all machines on.
MANY = 0.1

Stray = tuple[str, int, int]


class Reach:
    def __init__(self, clock: Clock, window: timedelta) -> None:
        self._clock = clock
        # What came longer ago says nothing; a worker makes the round of all nodes in less.
        self._window = window
        # By machine: when it came, its session and sequence; all missed this leadership.
        self._came: dict[str, tuple[timedelta, int, int]] = {}
        self._missed = 0
        # That the leader has.
        self._machines = 0
        # By node: how many came to it, some of them, the leadership that they missed, and when it said so.
        self._told: dict[str, tuple[int, list[Stray], int, timedelta]] = {}

    def turn_away(self, request: Request, leader: str | None, token: int) -> Response:
        """A report that came here, though this node does not lead.

        A machine that has seen the leadership that we know of comes from that leader, which it
        did not reach. One alone has lost an answer and is sent back at once. If many come, they
        would only wait in vain again, for four seconds: they go on to the next node, and by then
        another may lead.
        """
        try:
            sender = msgspec.convert(decode(request.body), Sender)
        except (MalformedBodyError, msgspec.ValidationError):
            sender = None
        if leader is None or sender is None or sender.token != token:
            return Response(421, elsewhere(leader))
        if token != self._missed:
            self._came.clear()
            self._missed = token
        # Taken out first: the last that came stand last.
        self._came.pop(sender.machine, None)
        self._came[sender.machine] = (self._clock(), sender.session, sender.sequence)
        # One is never many: in a small fleet, the round of all nodes would cost it its lease.
        many = max(1.0, self._machines * MANY)
        return Response(421, elsewhere(leader if len(self._came) <= many else None))

    def strays(self, token: int) -> tuple[int, list[Stray]]:
        """How many machines came here of late because they did not reach that leader, and some of them."""
        if token != self._missed:
            return 0, []
        since = self._clock() - self._window
        self._came = {machine: seen for machine, seen in self._came.items() if seen[0] > since}
        last = list(self._came.items())[-SOME:]
        return len(self._came), [(machine, session, sequence) for machine, (_, session, sequence) in last]

    def hear(self, node: str, strays: int, some: list[Stray], token: int, machines: int) -> None:
        """Another node says who came to it, in the leadership that it knows of."""
        if machines:
            self._machines = machines
        self._told[node] = (strays, some, token, self._clock())

    def elsewhere(self, token: int, news: Callable[[Stray], bool]) -> int:
        """About how many machines miss that leader and reach another node; `news` tells old copies."""
        since = self._clock() - self._window
        return max(
            (
                round(count * sum(map(news, some)) / len(some))
                for count, some, missed, at in self._told.values()
                if missed == token and at > since and some
            ),
            default=0,
        )


def should_give_way(machines: int, silent: int, elsewhere: int) -> bool:
    """Most machines are silent, and most of those reach another node.

    Or most come to another node, silent or not: they report here too, but no answer reaches them.
    """
    return elsewhere * 2 > (silent if silent * 2 > machines else machines)
