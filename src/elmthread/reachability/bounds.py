"""Timeouts for links and leadership, derived from the leader's lease and the worker settings."""

import math
from datetime import timedelta

import msgspec

from elmthread.common.clock import seconds
from elmthread.peers.network import ANNOUNCEMENT_INTERVAL
from elmthread.workers.messages import HEARTBEAT_RESPONSE_TIMEOUT

# Workers jitter `heartbeat_interval` by up to a quarter in either direction.
MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25
# The largest heartbeat timeout, as a multiple of the worker lease, however long the heartbeat interval is.
MAX_HEARTBEAT_TIMEOUT_LEASES = 0.3
# A worker whose response timeout has expired waits this much longer before it tries the next controller.
NEXT_CONTROLLER_DELAY = seconds(1)
# Allowance for network latency and for the time until this node reads the heartbeat.
HEARTBEAT_SLACK = seconds(0.5)
# A link to another controller is no longer confirmed after this many consecutive lost announcements, which is
# unlikely to be chance.
MAX_MISSED_ANNOUNCEMENTS = 3
# The longest backoff after a term, as a multiple of the worker lease.
MAX_BACKOFF_LEASES = 8
# The largest share by which jitter shortens a backoff.
BACKOFF_JITTER = 0.25
HOUR = seconds(3600)


class ReachabilityBounds(msgspec.Struct, frozen=True):
    """The timeouts for links, step-down and backoff; `docs/reachability-design.md` derives them."""

    # The duration of the leader's lease.
    ttl: timedelta
    heartbeat_interval: timedelta
    # The duration of a worker's lease.
    lease: timedelta

    @property
    def heartbeat_timeout(self) -> timedelta:
        """The time since a machine's last heartbeat after which the next one is considered skipped or lost."""
        longest_interval = self.heartbeat_interval * MAX_HEARTBEAT_INTERVAL_FACTOR + HEARTBEAT_SLACK
        return min(longest_interval, self.lease * MAX_HEARTBEAT_TIMEOUT_LEASES)

    @property
    def store_confirmed_for(self) -> timedelta:
        """How long an answered request confirms the link to the key-value store, counted from when it was sent."""
        return self.max_follower_watch * 2 + self.ttl / 2

    @property
    def max_follower_watch(self) -> timedelta:
        """How long a follower watches the key-value store per request; each response confirms its link."""
        return self.ttl

    @property
    def peer_confirmed_for(self) -> timedelta:
        """How long an echoed message confirms the link to another controller, counted from when it was sent."""
        return ANNOUNCEMENT_INTERVAL * MAX_MISSED_ANNOUNCEMENTS

    @property
    def workers_confirmed_for(self) -> timedelta:
        """How long a zone's heartbeats confirm the link to its workers, counted from the oldest heartbeat included."""
        return self.heartbeat_timeout + ANNOUNCEMENT_INTERVAL

    @property
    def cut_after(self) -> timedelta:
        """The age of the last confirmation beyond which a link counts as cut.

        It allows for a worker's response timeout and the heartbeat that follows it.
        """
        return self.lease / 2

    @property
    def max_view_age(self) -> timedelta:
        """How long another node's view is valid, counted from when this node sent the message that it echoes."""
        return self.peer_confirmed_for + ANNOUNCEMENT_INTERVAL

    @property
    def successor_precedence(self) -> timedelta:
        """How long the other nodes give a named successor precedence, counted from when they receive its name."""
        return self.ttl / 4

    @property
    def isolated_candidacy_delay(self) -> timedelta:
        """How long a node that neither workers nor other nodes reach delays its candidacy for a vacant leadership.

        By then, workers that got no response from one node have tried the next.
        """
        return HEARTBEAT_RESPONSE_TIMEOUT + NEXT_CONTROLLER_DELAY

    @property
    def heartbeat_hold_time(self) -> timedelta:
        """How long an isolated node delays its response to a heartbeat, in case it becomes leader meanwhile.

        The worker's response timeout is longer.
        """
        return HEARTBEAT_RESPONSE_TIMEOUT / 2

    @property
    def min_backoff(self) -> timedelta:
        """The first backoff after a term, and the longest vacancy of leadership that a backoff may cause."""
        return self.ttl * 2

    @property
    def max_backoff(self) -> timedelta:
        """The maximum length of a backoff, however often links fail."""
        return max(self.min_backoff, self.lease * MAX_BACKOFF_LEASES)

    def max_terms_per_hour(self, nodes: int) -> int:
        """Return the maximum number of terms per hour that link failures can cause among `nodes` controllers.

        After a term that it began outside of a backoff, a node enters a backoff. Repeated backoffs grow until each
        lasts `max_backoff`, less jitter. A node in backoff becomes leader only if leadership has been vacant for
        `min_backoff`, or if it was named as successor by a leader that was not in backoff and then enters one itself.
        """
        growth_terms = math.ceil(math.log2(self.max_backoff / self.min_backoff)) + 1
        terms_per_node = math.ceil(HOUR / (self.max_backoff * (1 - BACKOFF_JITTER))) + growth_terms
        return 2 * nodes * terms_per_node + math.ceil(HOUR / self.min_backoff)

    @property
    def max_time_without_leader(self) -> timedelta:
        """The longest time without a leader while all links work.

        It is the sum of a failed leader's lease, the longest delay of candidacies and the election.
        """
        return self.ttl + max(self.min_backoff, self.isolated_candidacy_delay) + self.ttl
