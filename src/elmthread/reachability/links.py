"""The state of one of this node's links, by the time of its last confirmed round trip."""

from datetime import timedelta
from enum import Enum

from elmthread.common.clock import Clock
from elmthread.common.states import transition


class LinkState(Enum):
    """The state of a link; the values are sent in messages between controllers."""

    CONFIRMED = "confirmed"
    DOUBTFUL = "doubtful"
    CUT = "cut"


LINK_TRANSITIONS = {
    LinkState.CONFIRMED: frozenset({LinkState.DOUBTFUL, LinkState.CUT}),
    LinkState.DOUBTFUL: frozenset({LinkState.CONFIRMED, LinkState.CUT}),
    # Doubtful after a slow round trip, which started before the link was considered cut and completed after that.
    LinkState.CUT: frozenset({LinkState.CONFIRMED, LinkState.DOUBTFUL}),
}


class Link:
    """The link to the key-value store, to another controller, or to the workers of a zone.

    Only a completed round trip confirms it, as of the time at which the round trip started. Neither a received message
    nor an open connection alone confirms the link.
    """

    def __init__(self, name: str, clock: Clock, confirmed_for: timedelta, cut_after: timedelta) -> None:
        """Start as doubtful. `confirmed_for` and `cut_after` count from the start of the last confirmed round trip."""
        self.name = name
        self._clock = clock
        self._confirmed_for = confirmed_for
        self._cut_after = max(cut_after, confirmed_for)
        self._created_at = clock()
        self._state = LinkState.DOUBTFUL
        self.confirmed_at: timedelta | None = None

    def begin(self) -> timedelta:
        """Return the start time of a round trip that starts now, to be passed to `confirm`."""
        return self._clock()

    def confirm(self, started_at: timedelta) -> None:
        """Record the completion of a round trip that started at that time."""
        if self.confirmed_at is None or started_at > self.confirmed_at:
            self.confirmed_at = started_at

    @property
    def state(self) -> LinkState:
        """The state, by the time since the last completed round trip started, or since creation if there was none."""
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
        """The time since the last completed round trip started; None if there was none."""
        return None if self.confirmed_at is None else self._clock() - self.confirmed_at

    def _set_state(self, state: LinkState) -> None:
        self._state = transition(f"link to {self.name}", LINK_TRANSITIONS, self._state, state)
