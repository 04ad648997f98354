"""One link of this node: whether a round trip over it has been confirmed of late."""

from datetime import timedelta
from enum import Enum

from elmthread.common.clock import Clock
from elmthread.common.states import transition


class LinkState(Enum):
    """What is known of a link; the values stand in messages between controllers."""

    CONFIRMED = "confirmed"
    DOUBTFUL = "doubtful"
    CUT = "cut"


LINK_STEPS = {
    LinkState.CONFIRMED: frozenset({LinkState.DOUBTFUL, LinkState.CUT}),
    LinkState.DOUBTFUL: frozenset({LinkState.CONFIRMED, LinkState.CUT}),
    # A round trip that began long ago may come to its end late.
    LinkState.CUT: frozenset({LinkState.CONFIRMED, LinkState.DOUBTFUL}),
}


class Link:
    """The link to the state service, to another controller, or to the workers of a zone.

    Only a round trip confirms it, as of the moment at which its first half was sent. What merely arrives
    moves `heard_at` alone, and opening a connection moves nothing.
    """

    def __init__(self, name: str, clock: Clock, confirmed_for: timedelta, cut_after: timedelta) -> None:
        """Doubtful at first: nothing is known. `confirmed_for` and `cut_after` count from the last confirmation."""
        self.name = name
        self._clock = clock
        self._confirmed_for = confirmed_for
        self._cut_after = max(cut_after, confirmed_for)
        self._since = clock()
        self._state = LinkState.DOUBTFUL
        self.confirmed_at: timedelta | None = None
        self.heard_at: timedelta | None = None

    def begin(self) -> timedelta:
        """The moment at which the first half of a round trip is sent."""
        return self._clock()

    def hear(self) -> None:
        """Something arrived."""
        self.heard_at = self._clock()

    def confirm(self, began: timedelta) -> None:
        """A round trip that began then has come to its end."""
        self.hear()
        if self.confirmed_at is None or began > self.confirmed_at:
            self.confirmed_at = began

    @property
    def state(self) -> LinkState:
        """The state now."""
        age = self._clock() - (self._since if self.confirmed_at is None else self.confirmed_at)
        if self.confirmed_at is not None and age <= self._confirmed_for:
            self._move(LinkState.CONFIRMED)
        elif age <= self._cut_after:
            self._move(LinkState.DOUBTFUL)
        else:
            self._move(LinkState.CUT)
        return self._state

    @property
    def age(self) -> timedelta | None:
        """How long ago the last confirmed round trip began; None where there was none."""
        return None if self.confirmed_at is None else self._clock() - self.confirmed_at

    def _move(self, new: LinkState) -> None:
        self._state = transition(f"link to {self.name}", LINK_STEPS, self._state, new)
