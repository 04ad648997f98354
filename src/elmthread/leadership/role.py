"""The role of a node in the cluster, and its allowed transitions."""

from enum import Enum, auto


class Role(Enum):
    """The role of this node."""

    FOLLOWER = auto()
    LEADING = auto()
    # The lease may have expired: workers are still answered for the grace period, and nothing else is done.
    LEASE_UNCERTAIN = auto()


ROLE_TRANSITIONS = {
    Role.FOLLOWER: frozenset({Role.LEADING}),
    Role.LEADING: frozenset({Role.LEASE_UNCERTAIN, Role.FOLLOWER}),
    Role.LEASE_UNCERTAIN: frozenset({Role.LEADING, Role.FOLLOWER}),
}
