"""The start commands that a worker may still execute, since the responses that contain them may still be valid."""

from datetime import timedelta


class RecentStarts:
    """The attempts of one machine whose start commands were sent recently."""

    __slots__ = ("_sent_at",)

    def __init__(self) -> None:
        """Begin without any."""
        # When the last start command of each attempt was sent, in the order of these times.
        self._sent_at: dict[int, timedelta] = {}

    def __contains__(self, attempt: int) -> bool:
        """Return whether a start command of the attempt is kept."""
        return attempt in self._sent_at

    def record(self, attempt: int, now: timedelta) -> None:
        """Record that a start command of the attempt is sent now."""
        self._sent_at.pop(attempt, None)
        self._sent_at[attempt] = now

    def forget_before(self, time: timedelta) -> None:
        """Forget the start commands that were sent before that time."""
        while self._sent_at:
            attempt, sent_at = next(iter(self._sent_at.items()))
            if sent_at >= time:
                break
            del self._sent_at[attempt]
