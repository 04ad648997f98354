"""Candidacy policy: when this node may seek leadership, given which links it can confirm."""

from datetime import timedelta
from typing import Protocol

from elmthread.common.clock import ZERO
from elmthread.reachability.monitor import Reachability


class Admission(Protocol):
    """Decides whether this process may take part in the cluster."""

    async def wait_admitted(self) -> None:
        """Return once this process may take part."""


class ReachabilityCandidacy:
    """Delays candidacies in favour of better connected nodes; a `leadership.candidacy.CandidacyPolicy`."""

    def __init__(self, admission: Admission, reachability: Reachability) -> None:
        """Require `admission` before any candidacy."""
        self._admission = admission
        self._reachability = reachability

    async def wait_admitted(self) -> None:
        """Return once this process may take part in elections at all."""
        await self._admission.wait_admitted()

    def candidacy_delay(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """Return how much longer to delay a candidacy when there has been no leader for `vacant_for`.

        `fencing_token` is that of the latest known term.
        """
        reachability = self._reachability
        backoff_delay = reachability.backoff.candidacy_delay(vacant_for)
        successor = reachability.succession.announced_by_other(fencing_token)
        if successor is None:
            return max(backoff_delay, self._isolation_delay(vacant_for))
        if successor.node == reachability.node:
            # The previous leader determined that this node is better connected.
            return ZERO
        return max(backoff_delay, reachability.succession.remaining_precedence(successor))

    def _isolation_delay(self, vacant_for: timedelta) -> timedelta:
        """Return the candidacy delay of a node that confirms no other controller and recently received no heartbeats.

        The delay lets a node that confirms another controller, or that workers reach, win first. Workers that got no
        response from one node have tried the next by then. An isolated leader could not hand over to such a node, as a
        leader names as successor only a node to which its link is confirmed.
        A node that recently received heartbeats while it did not lead does not wait, as workers reach it.
        """
        reachability = self._reachability
        if not reachability.is_isolated() or reachability.misdirected.has_recent_heartbeats():
            return ZERO
        return max(ZERO, reachability.bounds.isolated_candidacy_delay - vacant_for)

    def on_term_ended(self) -> None:
        """Start a backoff, as this node's term ended while its process keeps running."""
        self._reachability.backoff.begin()

    def watch_timeout(self, default: timedelta) -> timedelta:
        """Return how long a follower waits for a change of leader before it queries the key-value store again."""
        return (
            min(default, self._reachability.bounds.max_follower_watch) if self._reachability.views_active else default
        )
