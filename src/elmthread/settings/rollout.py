"""The operators' settings of staged rollouts."""

import math
from datetime import timedelta

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.features import FIRST_LEVEL, MAX_VALID_LEVEL

MAX_SOAK_S = 30 * 86400.0


class RolloutSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `[rollout]` table; without it, no level is announced or activated."""

    enabled: bool = False
    # How long all announcements must have been in place before the level is raised.
    soak_s: float = 600.0
    # No level above this one is activated while any node has this setting.
    hold_at: int | None = None

    @property
    def soak(self) -> timedelta:
        """`soak_s` as a timedelta."""
        return seconds(self.soak_s)

    def problem(self) -> str | None:
        """Return a one-line description of an invalid value, or None if all values are valid."""
        if not (math.isfinite(self.soak_s) and 0 <= self.soak_s <= MAX_SOAK_S):
            return f"rollout.soak_s: must be from 0 to {MAX_SOAK_S:.0f}, is {self.soak_s}"
        if self.hold_at is not None and not FIRST_LEVEL <= self.hold_at <= MAX_VALID_LEVEL:
            return f"rollout.hold_at: must be from {FIRST_LEVEL} to {MAX_VALID_LEVEL}, is {self.hold_at}"
        return None
