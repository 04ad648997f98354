"""When this node is a candidate for leadership, by what it can confirm of the others."""

from datetime import timedelta
from typing import Protocol

from elmthread.common.clock import ZERO
from elmthread.reachability.monitor import Reachability


class Admission(Protocol):
    """What lets a process take part in the cluster."""

    async def wait_admitted(self) -> None:
        """Return once this process may take part."""


class ReachabilityCandidacy:
    """Delays candidacies in favour of nodes that are better off; a `leadership.candidacy.CandidacyPolicy`."""

    def __init__(self, admission: Admission, reachability: Reachability) -> None:
        """`admission` is waited for before any candidacy."""
        self._admission = admission
        self._reachability = reachability

    async def wait_admitted(self) -> None:
        """Return once this process may take part in elections at all."""
        await self._admission.wait_admitted()

    def candidacy_delay(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """Return how long to leave leadership to others; `fencing_token` is that of the last term that is known."""
        reachability = self._reachability
        backoff_delay = reachability.backoff.candidacy_delay(vacant_for)
        successor = reachability.succession.announced_by_other(fencing_token)
        if successor is None:
            return max(backoff_delay, self._isolation_delay(vacant_for))
        if successor.node == reachability.node:
            # Whoever handed leadership over knows that this node is better off.
            return ZERO
        return max(backoff_delay, reachability.succession.remaining(successor))

    def _isolation_delay(self, vacant_for: timedelta) -> timedelta:
        """Return how long a node that confirms no other controller, and that no worker reaches, is no candidate.

        A leader without peers can name no successor. A node reached by the workers that have lost it does not wait.
        """
        reachability = self._reachability
        if not reachability.is_isolated() or reachability.misdirected.has_recent_heartbeats():
            return ZERO
        return max(ZERO, reachability.bounds.isolated_candidacy_delay - vacant_for)

    def on_term_ended(self) -> None:
        """Begin a backoff: a term of this node has ended before its process did."""
        self._reachability.backoff.begin()

    def watch_timeout(self, default: timedelta) -> timedelta:
        """Return how long a follower waits for news of the leader before it asks the key-value store again."""
        return min(default, self._reachability.bounds.follower_watch) if self._reachability.views_active else default
