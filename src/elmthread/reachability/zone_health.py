"""Zone health: which zones are unreachable, and where this node's own link may be the cause of the silence."""

import logging
from collections.abc import Mapping

from elmthread.common.clock import Clock
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import Link, LinkState
from elmthread.reachability.messages import LinkStatus, status_of
from elmthread.reachability.zone_counts import ZoneCount, ZoneCounts

log = logging.getLogger(__name__)

# The smallest number of machines from whose silence a fault of their zone or of this node's links is inferred.
MIN_MACHINES_TO_JUDGE = 4
# A zone is considered unreachable if more than this share of its machines is silent.
UNREACHABLE_SHARE = 0.8
# Up to this share of silent machines in the cluster, silence is attributed to failures of individual machines.
RARE_SILENCE_SHARE = 0.1


class ZoneHealth:
    """Tracks the reachability of each zone and the state of the link to its workers, for one term."""

    def __init__(self, counts: ZoneCounts, bounds: ReachabilityBounds, clock: Clock) -> None:
        """Evaluate the zones by `counts`."""
        self.counts = counts
        self._bounds = bounds
        self._clock = clock
        self._links: dict[str, Link] = {}
        # The zones considered unreachable, and whether few machines are silent, as of the last evaluation.
        self.unreachable: frozenset[str] = frozenset()
        self.silence_is_rare = True

    def update_unreachable_zones(self) -> bool:
        """Update which zones are considered unreachable; return whether that has changed."""
        total = self.counts.total()
        self.silence_is_rare = total.silent <= max(1, RARE_SILENCE_SHARE * total.expected)
        unreachable = frozenset(
            zone
            for zone, count in self.counts.by_zone().items()
            if count.silent >= MIN_MACHINES_TO_JUDGE and count.silent > UNREACHABLE_SHARE * count.expected
        )
        if unreachable == self.unreachable:
            return False
        log.info("zones considered unreachable: %s", ", ".join(sorted(unreachable)) or "none")
        self.unreachable = unreachable
        return True

    def is_own_link_suspect(self, zone: str) -> bool:
        """Return whether a fault of this node's own link may explain the silence of a zone's machines."""
        count = self.counts.by_zone().get(zone)
        if count is None or count.expected < MIN_MACHINES_TO_JUDGE or count.silent * 2 <= count.expected:
            return False
        link = self._links.get(zone)
        return link is None or link.state is not LinkState.CONFIRMED

    def confirm_links(self) -> None:
        """Confirm the link to each zone in which at least half of the expected machines report."""
        # No heartbeat that counts as on time arrived earlier than this. Each of them indicates that an earlier response
        # of this node had arrived.
        oldest_heartbeat_at = self._clock() - self._bounds.heartbeat_timeout
        for zone, count in self.counts.by_zone().items():
            link = self._links.get(zone)
            if link is None:
                name = f"the workers of {zone}"
                link = self._links[zone] = Link(
                    name, self._clock, self._bounds.workers_confirmed_for, self._bounds.cut_after
                )
            if _at_least_half_report(count):
                link.confirm(oldest_heartbeat_at)

    def statuses(self) -> Mapping[str, LinkStatus]:
        """Return the state of the links to the workers, by zone."""
        return {zone: status_of(link) for zone, link in sorted(self._links.items())}


def _at_least_half_report(count: ZoneCount) -> bool:
    return count.confirmed * 2 >= count.expected > 0
