"""A token bucket: keeps calls within a rate and leaves room for what matters more."""

from dataclasses import dataclass, field
from datetime import timedelta

from elmthread.common.clock import Clock, seconds


@dataclass
class TokenBucket:
    rate: float
    burst: float
    clock: Clock
    _level: float = field(init=False)
    _at: timedelta = field(init=False)

    def __post_init__(self) -> None:
        self._level = self.burst
        self._at = self.clock()

    def level(self) -> float:
        now = self.clock()
        self._level = min(self.burst, self._level + (now - self._at).total_seconds() * self.rate)
        self._at = now
        return self._level

    def take(self, count: float = 1.0, keep: float = 0.0) -> bool:
        """Takes count if that leaves at least keep in the bucket."""
        if self.level() - count < keep:
            return False
        self._level -= count
        return True

    def wait(self, count: float = 1.0, keep: float = 0.0) -> timedelta:
        """How long until take(count, keep) can succeed."""
        return seconds(max(0.0, (count + keep - self.level()) / self.rate))

    def drain(self) -> None:
        """The other side says that the rate is exceeded: start from empty."""
        self.level()
        self._level = min(self._level, 0.0)
