"""When a node may become a candidate for leadership."""

from datetime import timedelta
from typing import Protocol

from elmthread.common.clock import ZERO


class CandidacyPolicy(Protocol):
    """Decides whether and when a node may be a candidate while there is no leader."""

    async def wait_admitted(self) -> None:
        """Wait until this process may take part in elections."""

    def candidacy_delay(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """Return how long this node must still wait before it is a candidate.

        `vacant_for` is the time for which there has been no leader; `fencing_token` is that of the last known term.
        """

    def on_term_ended(self) -> None:
        """Record that a term of this node has ended while its process runs on."""

    def watch_timeout(self, default: timedelta) -> timedelta:
        """Return how long a follower watches the leader key before it sends the next request to the key-value store."""


class UnrestrictedCandidacy:
    """Lets a node be a candidate whenever there is no leader."""

    async def wait_admitted(self) -> None:
        """Return at once."""

    def candidacy_delay(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """Return no delay."""
        return ZERO

    def on_term_ended(self) -> None:
        """Do nothing."""

    def watch_timeout(self, default: timedelta) -> timedelta:
        """Return the default timeout."""
        return default
