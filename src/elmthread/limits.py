"""What a controller takes of the platform's limits, and the times that follow from its settings."""

from datetime import timedelta

from elmthread.common.clock import extend_for_drift, reduce_for_drift, seconds
from elmthread.machines.failure_detection import HEARTBEAT_OVERDUE_LEASES
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.settings.platform import PlatformSettings

# The duration of the leader's lease.
LEADER_LEASE = seconds(2)
# A confirmed cancellation is right only if a machine that nobody reaches is empty within
# cancel_s: an old leader's last responses and the worker's lease must both fit into it.
CANCEL_SLACK = seconds(4)
# However long the limits allow: a new leader has to wait for the end of an earlier one's grace period.
MAX_GRACE_PERIOD = seconds(60)
# Shares of the key-value store's rates; the rest is for renewals.
LEADER_STORE_SHARE = 0.85
FOLLOWER_STORE_SHARE = 0.1
# The rest of the connections is for requests of our own and for the other controllers.
SERVER_CONNECTION_SHARE = 0.9
# Of the server's connections; the rest is for users, who must find one whatever the workers do.
WORKER_CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 10
MIN_WORKER_CONNECTIONS = 5
# The key-value store lets a transaction compare this many keys for each change that it allows.
COMPARISONS_PER_OPERATION = 4


def max_server_connections(platform: PlatformSettings) -> int:
    """Return how many connections the HTTP server accepts."""
    return max(MIN_CONNECTIONS, int(platform.cluster.limits.max_connections * SERVER_CONNECTION_SHARE))


def max_worker_connections(platform: PlatformSettings) -> int:
    """Return how many of the server's connections workers may use."""
    return max(MIN_WORKER_CONNECTIONS, int(max_server_connections(platform) * WORKER_CONNECTION_SHARE))


def max_waiting_requests(platform: PlatformSettings) -> int:
    """Return how many requests of users may wait here: about as many as their connections."""
    share = SERVER_CONNECTION_SHARE * (1 - WORKER_CONNECTION_SHARE)
    return max(MIN_CONNECTIONS, int(platform.cluster.limits.max_connections * share))


def max_comparisons(platform: PlatformSettings) -> int:
    """Return how many keys one transaction may compare."""
    return COMPARISONS_PER_OPERATION * platform.cluster.store.strictest().txn_ops


def grace_period(platform: PlatformSettings) -> timedelta:
    """Return how long workers may be answered on a lease that is no longer certain."""
    workers = platform.cluster.workers
    return max(
        seconds(0),
        min(
            reduce_for_drift(workers.cancellation_time) - extend_for_drift(workers.lease) - CANCEL_SLACK,
            MAX_GRACE_PERIOD,
        ),
    )


def reachability_bounds(platform: PlatformSettings) -> ReachabilityBounds:
    """Return the times by which links are judged."""
    workers = platform.cluster.workers
    return ReachabilityBounds(LEADER_LEASE, workers.heartbeat_interval, workers.lease)


def misdirected_window(platform: PlatformSettings) -> timedelta:
    """Return how long a machine counts that came to a follower because it did not reach the leader."""
    return platform.cluster.workers.lease * HEARTBEAT_OVERDUE_LEASES
