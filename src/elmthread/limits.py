"""What a controller takes of the platform's limits, and the times that follow from its settings."""

from datetime import timedelta

from elmthread.common.clock import at_least, at_most, seconds
from elmthread.settings.platform import Platform

# The lease of leadership.
LEASE = seconds(2)
# Telling a user `cancelled` is right only if a machine that nobody reaches is empty within
# cancel_s: an old leader's last answers and the worker's lease must both fit into it.
CANCEL_SLACK = seconds(4)
# Longer than this no leader holds on, whatever the limits allow: a new one has to wait it out.
MOST_HELD = seconds(60)
# Parts of the state service's rates: the rest is for renewals and the other nodes.
LEADERS_PART = 0.85
# Sockets: what is not for those who call is for calls of our own and for the peers; workers
# leave some of the rest to users, who must find one whatever the fleet does.
SERVERS_PART = 0.9
WORKERS_PART = 0.8
OTHERS_PART = 0.1


def users_at_once(platform: Platform) -> int:
    """Requests of users that may wait here: about as many as their sockets, so others get answers."""
    return max(10, int(platform.cluster.limits.max_connections * SERVERS_PART * (1 - WORKERS_PART)))


def holding_time(platform: Platform) -> timedelta:
    """How long workers may be answered on a lease that is no longer sure."""
    workers = platform.cluster.workers
    return max(seconds(0), min(at_most(workers.cancellation_time) - at_least(workers.lease) - CANCEL_SLACK, MOST_HELD))
