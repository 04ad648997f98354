"""When a node may become a candidate for leadership."""

from datetime import timedelta
from typing import Protocol

from elmthread.common.clock import ZERO


class CandidacyPolicy(Protocol):
    """What keeps a node from being a candidate for a while, though there is no leader."""

    async def wait_admitted(self) -> None:
        """Return once this process may take part in elections at all."""

    def candidacy_delay(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """Return how long to leave leadership to others; `fencing_token` is that of the last term that is known."""

    def on_term_ended(self) -> None:
        """Note that a term of this node has ended before its process did."""

    def watch_timeout(self, default: timedelta) -> timedelta:
        """Return how long a follower waits for news of the leader before it asks the key-value store again."""


class UnrestrictedCandidacy:
    """A node that is a candidate whenever there is no leader."""

    async def wait_admitted(self) -> None:
        """Return at once."""

    def candidacy_delay(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """Return no delay."""
        return ZERO

    def on_term_ended(self) -> None:
        """Do nothing."""

    def watch_timeout(self, default: timedelta) -> timedelta:
        """Return the usual time."""
        return default
