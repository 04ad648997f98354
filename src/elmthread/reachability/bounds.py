"""Bounds of reachability, computed from the lease of leadership and the workers' settings."""

import math
from datetime import timedelta

import msgspec

from elmthread.common.clock import seconds
from elmthread.peers.network import ANNOUNCEMENT_INTERVAL
from elmthread.workers.messages import HEARTBEAT_RESPONSE_TIMEOUT

# Workers send a heartbeat every `heartbeat_interval`, give or take a quarter.
MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25
# The part of a worker's lease that an overdue heartbeat may take of it, whatever the interval.
OVERDUE_LEASE_SHARE = 0.3
# A worker that has given a controller up turns to the next one after this time.
NEXT_CONTROLLER_DELAY = seconds(1)
# For a heartbeat's way and for the node's own work before it is read.
HEARTBEAT_SLACK = seconds(0.5)
# So many announcements in a row are not lost by accident.
MISSED_ANNOUNCEMENTS = 3
# The longest backoff after a term, in leases of workers.
MAX_BACKOFF_LEASES = 8
# How far a backoff may be drawn below its nominal length.
BACKOFF_JITTER = 0.25
HOUR = seconds(3600)


class ReachabilityBounds(msgspec.Struct, frozen=True):
    """All times by which links are judged and leadership is given up; `docs/reachability-design.md` derives them."""

    # The duration of the leader's lease.
    ttl: timedelta
    heartbeat_interval: timedelta
    # The duration of a worker's lease.
    lease: timedelta

    @property
    def heartbeat_timeout(self) -> timedelta:
        """A machine that is silent for longer has missed a heartbeat, or its heartbeat is lost."""
        longest_interval = self.heartbeat_interval * MAX_HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_SLACK
        return min(longest_interval, self.lease * OVERDUE_LEASE_SHARE)

    @property
    def store_confirmed_for(self) -> timedelta:
        """The key-value store counts as reached for so long after a request began that was answered."""
        return self.follower_watch * 2 + self.ttl / 2

    @property
    def follower_watch(self) -> timedelta:
        """A follower asks the key-value store again after this time, which confirms its link."""
        return self.ttl

    @property
    def peer_confirmed_for(self) -> timedelta:
        """Another controller counts as reached for so long after a message was sent that it has echoed."""
        return ANNOUNCEMENT_INTERVAL * MISSED_ANNOUNCEMENTS

    @property
    def workers_confirmed_for(self) -> timedelta:
        """The workers of a zone count as reached for so long after the oldest heartbeat by which they were counted."""
        return self.heartbeat_timeout + ANNOUNCEMENT_INTERVAL

    @property
    def cut_after(self) -> timedelta:
        """A link that nothing has confirmed for so long is cut; a worker's response timeout and a heartbeat fit in."""
        return self.lease / 2

    @property
    def max_view_age(self) -> timedelta:
        """What another node said counts for so long after the message of ours that it echoes was sent."""
        return self.peer_confirmed_for + ANNOUNCEMENT_INTERVAL

    @property
    def successor_precedence(self) -> timedelta:
        """The other nodes leave leadership to a named successor for this long after it was announced to them."""
        return self.ttl / 4

    @property
    def isolated_candidacy_delay(self) -> timedelta:
        """A node that neither workers nor other nodes reach leaves a vacant leadership to others for this long.

        By then the workers that turned to one node in vain have come to the next.
        """
        return HEARTBEAT_RESPONSE_TIMEOUT + NEXT_CONTROLLER_DELAY

    @property
    def heartbeat_hold_time(self) -> timedelta:
        """How long a heartbeat may wait here for a leader: its sender still waits for a response after it."""
        return HEARTBEAT_RESPONSE_TIMEOUT / 2

    @property
    def min_backoff(self) -> timedelta:
        """The first backoff after a term, and the longest time for which a backoff may leave leadership vacant."""
        return self.ttl * 2

    @property
    def max_backoff(self) -> timedelta:
        """No backoff is longer, however often cuts return."""
        return max(self.min_backoff, self.lease * MAX_BACKOFF_LEASES)

    def max_terms_per_hour(self, nodes: int) -> int:
        """Return how many terms begin in an hour at most for cuts alone, whatever links are cut and when.

        A node without a backoff leads, and has one after it: at most `max_backoff` apart once the backoffs have
        grown. A node in backoff leads only where it was named, by a node that had no backoff and has one from then
        on, or where leadership has been vacant for `min_backoff`.
        """
        growing = math.ceil(math.log2(self.max_backoff / self.min_backoff)) + 1
        after_backoff = math.ceil(HOUR / (self.max_backoff * (1 - BACKOFF_JITTER))) + growing
        return 2 * nodes * after_backoff + math.ceil(HOUR / self.min_backoff)

    @property
    def max_time_without_leader(self) -> timedelta:
        """Once no link is cut: the lease of a leader that is gone, a backoff that nobody ends, and the election."""
        return self.ttl + max(self.min_backoff, self.isolated_candidacy_delay) + self.ttl
