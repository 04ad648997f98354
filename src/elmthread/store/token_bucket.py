"""A token bucket: limits the rate of calls, and can reserve tokens for more important ones."""

from dataclasses import dataclass, field
from datetime import timedelta

from elmthread.common.clock import Clock, seconds


@dataclass
class TokenBucket:
    """Holds at most `burst` tokens, starts full and gains `rate` tokens per second."""

    rate: float
    burst: float
    clock: Clock
    _tokens: float = field(init=False)
    _updated_at: timedelta = field(init=False)

    def __post_init__(self) -> None:
        """Start full."""
        self._tokens = self.burst
        self._updated_at = self.clock()

    def level(self) -> float:
        """Return the number of tokens now; below 0 after `take` with a negative `min_remaining`."""
        now = self.clock()
        self._tokens = min(self.burst, self._tokens + (now - self._updated_at).total_seconds() * self.rate)
        self._updated_at = now
        return self._tokens

    def take(self, count: float = 1.0, min_remaining: float = 0.0) -> bool:
        """Take `count` tokens and return True, or return False if fewer than `min_remaining` would be left."""
        if self.level() - count < min_remaining:
            return False
        self._tokens -= count
        return True

    def time_until(self, count: float = 1.0, min_remaining: float = 0.0) -> timedelta:
        """Return the time until `take(count, min_remaining)` can succeed."""
        return seconds(max(0.0, (count + min_remaining - self.level()) / self.rate))

    def drain(self) -> None:
        """Empty the bucket after the server refused a call as over its rate limit."""
        self.level()
        self._tokens = min(self._tokens, 0.0)
