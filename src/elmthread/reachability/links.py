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
    """The link to the key-value store, to another controller, or to the workers of a zone.

    Only a round trip confirms it, as of the moment at which its first half was sent. Neither a message that
    merely arrives nor an opened connection confirms anything.
    """

    def __init__(self, name: str, clock: Clock, confirmed_for: timedelta, cut_after: timedelta) -> None:
        """Begin as doubtful. `confirmed_for` and `cut_after` count from the last confirmation."""
        self.name = name
        self._clock = clock
        self._confirmed_for = confirmed_for
        self._cut_after = max(cut_after, confirmed_for)
        self._created_at = clock()
        self._state = LinkState.DOUBTFUL
        self.confirmed_at: timedelta | None = None

    def begin(self) -> timedelta:
        """Return the moment at which the first half of a round trip is sent."""
        return self._clock()

    def confirm(self, began: timedelta) -> None:
        """Note that a round trip that began then has come to its end."""
        if self.confirmed_at is None or began > self.confirmed_at:
            self.confirmed_at = began

    @property
    def state(self) -> LinkState:
        """The state now."""
        age = self._clock() - (self._created_at if self.confirmed_at is None else self.confirmed_at)
        if self.confirmed_at is not None and age <= self._confirmed_for:
            self._set_state(LinkState.CONFIRMED)
        elif age <= self._cut_after:
            self._set_state(LinkState.DOUBTFUL)
        else:
            self._set_state(LinkState.CUT)
        return self._state

    @property
    def age(self) -> timedelta | None:
        """How long ago the last confirmed round trip began; None where there was none."""
        return None if self.confirmed_at is None else self._clock() - self.confirmed_at

    def _set_state(self, state: LinkState) -> None:
        self._state = transition(f"link to {self.name}", LINK_STEPS, self._state, state)
