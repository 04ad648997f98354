"""The health of each zone: which are unreachable, and which silence may be a fault of this node's own link."""

import logging
from collections.abc import Mapping

from elmthread.common.clock import Clock
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import Link, LinkState
from elmthread.reachability.messages import LinkStatus, status_of
from elmthread.reachability.zone_counts import ZoneCount, ZoneCounts

log = logging.getLogger(__name__)

# Silence of fewer machines than this says nothing about their zone or about this node.
MIN_MACHINES_TO_JUDGE = 4
# A zone in which more than this part of the machines is silent seems to be unreachable.
UNREACHABLE_SHARE = 0.8
# Below this part of all machines silence is rare, so a machine that is silent has failed by itself.
RARE_SILENCE_SHARE = 0.1


class ZoneHealth:
    """Counts the machines of each zone and keeps the link to its workers, for one term."""

    def __init__(self, counts: ZoneCounts, bounds: ReachabilityBounds, clock: Clock) -> None:
        """Use the counts of the term's machines."""
        self.counts = counts
        self._bounds = bounds
        self._clock = clock
        self._links: dict[str, Link] = {}
        # Zones that seem to be unreachable, and whether hardly any machine is silent, as of the last judgement.
        self.unreachable: frozenset[str] = frozenset()
        self.silence_is_rare = True

    def update_unreachable_zones(self) -> bool:
        """Judge which zones seem to be unreachable; return whether that has changed."""
        total = self.counts.total()
        self.silence_is_rare = total.silent <= max(1, RARE_SILENCE_SHARE * total.expected)
        unreachable = frozenset(
            zone
            for zone, count in self.counts.by_zone().items()
            if count.silent >= MIN_MACHINES_TO_JUDGE and count.silent > UNREACHABLE_SHARE * count.expected
        )
        if unreachable == self.unreachable:
            return False
        log.info("zones that seem to be unreachable: %s", ", ".join(sorted(unreachable)) or "none")
        self.unreachable = unreachable
        return True

    def is_own_link_suspect(self, zone: str) -> bool:
        """Return whether the silence of a zone's machines may be a fault of this node's own link to them."""
        count = self.counts.by_zone().get(zone)
        if count is None or count.expected < MIN_MACHINES_TO_JUDGE or count.silent * 2 <= count.expected:
            return False
        link = self._links.get(zone)
        return link is None or link.state is not LinkState.CONFIRMED

    def confirm_links(self) -> None:
        """Confirm the link to each zone of which most machines report."""
        # The oldest heartbeat by which a machine counts as reporting came then, and our response was sent before it.
        began = self._clock() - self._bounds.heartbeat_timeout
        for zone, count in self.counts.by_zone().items():
            link = self._links.get(zone)
            if link is None:
                name = f"the workers of {zone}"
                link = self._links[zone] = Link(
                    name, self._clock, self._bounds.workers_confirmed_for, self._bounds.cut_after
                )
            if _most_report(count):
                link.confirm(began)

    def statuses(self) -> Mapping[str, LinkStatus]:
        """Return the state of the links to the workers, by zone."""
        return {zone: status_of(link) for zone, link in sorted(self._links.items())}


def _most_report(count: ZoneCount) -> bool:
    return count.confirmed * 2 >= count.expected > 0
