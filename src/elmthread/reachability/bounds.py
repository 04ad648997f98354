"""Bounds of reachability, computed from the lease of leadership and the workers' settings."""

import math
from datetime import timedelta

import msgspec

from elmthread.common.clock import seconds
from elmthread.workers.messages import HEARTBEAT_RESPONSE_TIMEOUT

# Workers send a report every `heartbeat_interval`, give or take a quarter.
LONGEST_HEARTBEAT_INTERVAL = 1.25
# The part of a worker's lease that an overdue report may take of it, whatever the interval.
OVERDUE_PART = 0.3
# A worker that has given a controller up turns to the next one after this time.
NEXT_CONTROLLER = seconds(1)
# For a report's way and for the node's own work before it is read.
HEARTBEAT_SLACK = seconds(0.5)
# Controllers announce themselves this often; three announcements in a row are not all lost by accident.
ANNOUNCEMENT_INTERVAL = seconds(1)
MISSED_ANNOUNCEMENTS = 3
# The largest wait after a term, in leases of workers.
MOST_LEASES = 8
# How far a wait may be drawn below its nominal length.
JITTER = 0.25
HOUR = seconds(3600)


class ReachabilityBounds(msgspec.Struct, frozen=True):
    """All times by which links are judged and leadership is given up; `docs/reachability-design.md` derives them."""

    ttl: timedelta
    heartbeat_interval: timedelta
    lease: timedelta

    @property
    def heartbeat_timeout(self) -> timedelta:
        """A machine that is silent for longer has missed a report, or its report is lost."""
        return min(self.heartbeat_interval * LONGEST_HEARTBEAT_INTERVAL + HEARTBEAT_SLACK, self.lease * OVERDUE_PART)

    @property
    def store_confirmed(self) -> timedelta:
        """The state service counts as reached for so long after a request began that was answered."""
        return self.follower_watch * 2 + self.ttl / 2

    @property
    def follower_watch(self) -> timedelta:
        """A follower asks the state service anew after this time, so that its link is confirmed by it."""
        return self.ttl

    @property
    def peer_confirmed(self) -> timedelta:
        """Another controller counts as reached for so long after a message was sent that it has echoed."""
        return ANNOUNCEMENT_INTERVAL * MISSED_ANNOUNCEMENTS

    @property
    def workers_confirmed(self) -> timedelta:
        """The workers of a zone count as reached for so long after the oldest report by which they were counted."""
        return self.heartbeat_timeout + ANNOUNCEMENT_INTERVAL

    @property
    def cut_after(self) -> timedelta:
        """A link that nothing has confirmed for so long is cut: a worker's answer wait and a report fit into it."""
        return self.lease / 2

    @property
    def view_age(self) -> timedelta:
        """What another node said counts for so long after the message of ours that it echoes was sent."""
        return self.peer_confirmed + ANNOUNCEMENT_INTERVAL

    @property
    def successor_wait(self) -> timedelta:
        """The other nodes leave standing to a named successor for this long after they heard of it."""
        return self.ttl / 4

    @property
    def unheard_wait(self) -> timedelta:
        """A node that neither workers nor other nodes reach leaves a vacant leadership to others for this long.

        By then the workers that turned to one node in vain have come to the next.
        """
        return HEARTBEAT_RESPONSE_TIMEOUT + NEXT_CONTROLLER

    @property
    def heartbeat_hold_time(self) -> timedelta:
        """How long a report may wait here for a leader: its sender still listens after it."""
        return HEARTBEAT_RESPONSE_TIMEOUT / 2

    @property
    def least_rest(self) -> timedelta:
        """The first rest after a term, and the longest time that a rest may leave leadership vacant."""
        return self.ttl * 2

    @property
    def longest_rest(self) -> timedelta:
        """No rest is longer, however often cuts return."""
        return max(self.least_rest, self.lease * MOST_LEASES)

    def most_terms_an_hour(self, nodes: int) -> int:
        """At most so many terms begin in an hour for cuts alone, whatever links are cut and when.

        A node that does not rest leads, and rests after it: at most `longest_rest` apart once the rests have
        grown. A node that rests leads only where it was named, by a node that did not rest and does from then
        on, or where leadership has been vacant for `least_rest`.
        """
        growing = math.ceil(math.log2(self.longest_rest / self.least_rest)) + 1
        rested = math.ceil(HOUR / (self.longest_rest * (1 - JITTER))) + growing
        return 2 * nodes * rested + math.ceil(HOUR / self.least_rest)

    @property
    def longest_without_leader(self) -> timedelta:
        """Once no link is cut: the lease of a leader that is gone, a rest that nobody breaks, and the election."""
        return self.ttl + max(self.least_rest, self.unheard_wait) + self.ttl
