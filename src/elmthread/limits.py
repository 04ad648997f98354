"""The shares of the platform's limits that a controller uses, and durations derived from the platform settings."""

from datetime import timedelta

from elmthread.common.clock import extend_for_drift, reduce_for_drift, seconds
from elmthread.machines.failure_detection import HEARTBEAT_OVERDUE_LEASES
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.settings.platform import PlatformSettings

# The duration of the leader's lease.
LEADER_LEASE = seconds(2)
# A confirmed cancellation is correct only if even an unreachable machine has ended the job's tasks after `cancel_s`.
# An earlier leader may renew a worker's lease until its grace period ends, so the grace period, the worker's lease
# and this slack must together fit into `cancel_s`.
CANCEL_SLACK = seconds(4)
# Applies even if the settings allow more: until an earlier leader's grace period is over, a new leader must assume
# that machines which have not reported still run that leader's tasks.
MAX_GRACE_PERIOD = seconds(60)
# Shares of the key-value store's rate limits that the leader and each follower may use; the rest is reserved for
# lease renewals, which these shares do not restrict.
LEADER_STORE_SHARE = 0.85
FOLLOWER_STORE_SHARE = 0.1
# Share of the platform's `max_connections` that the HTTP server accepts; the rest is for this node's own requests and
# for the other controllers.
SERVER_CONNECTION_SHARE = 0.9
# Share of the server's connections that workers may use; the rest is reserved for users.
WORKER_CONNECTION_SHARE = 0.8
MIN_CONNECTIONS = 10
MIN_WORKER_CONNECTIONS = 5
# The key-value store lets a transaction compare this many times as many keys as it may change (`txn_ops`).
COMPARISONS_PER_OPERATION = 4


def max_server_connections(platform: PlatformSettings) -> int:
    """Return how many connections the HTTP server accepts."""
    return max(MIN_CONNECTIONS, int(platform.cluster.limits.max_connections * SERVER_CONNECTION_SHARE))


def max_worker_connections(platform: PlatformSettings) -> int:
    """Return how many of the server's connections workers may use."""
    return max(MIN_WORKER_CONNECTIONS, int(max_server_connections(platform) * WORKER_CONNECTION_SHARE))


def max_waiting_requests(platform: PlatformSettings) -> int:
    """Return how many user requests may wait on this node: about as many as users have connections."""
    share = SERVER_CONNECTION_SHARE * (1 - WORKER_CONNECTION_SHARE)
    return max(MIN_CONNECTIONS, int(platform.cluster.limits.max_connections * share))


def max_comparisons(platform: PlatformSettings) -> int:
    """Return how many keys one transaction may compare."""
    return COMPARISONS_PER_OPERATION * platform.cluster.store.strictest().txn_ops


def grace_period(platform: PlatformSettings) -> timedelta:
    """Return how long workers may still be answered once the leader's lease is no longer certain."""
    workers = platform.cluster.workers
    return max(
        seconds(0),
        min(
            reduce_for_drift(workers.cancellation_time) - extend_for_drift(workers.lease) - CANCEL_SLACK,
            MAX_GRACE_PERIOD,
        ),
    )


def reachability_bounds(platform: PlatformSettings) -> ReachabilityBounds:
    """Return the timeouts that decide whether a link counts as working."""
    workers = platform.cluster.workers
    return ReachabilityBounds(LEADER_LEASE, workers.heartbeat_interval, workers.lease)


def misdirected_window(platform: PlatformSettings) -> timedelta:
    """Return how long a machine whose heartbeat came to a follower counts as not reaching the leader."""
    return platform.cluster.workers.lease * HEARTBEAT_OVERDUE_LEASES
