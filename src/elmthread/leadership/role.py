"""The role of a node in the cluster, and how it may change."""

from enum import Enum, auto


class Role(Enum):
    """What this node is."""

    FOLLOWER = auto()
    LEADING = auto()
    # The lease may have expired: workers are still answered for a while, nothing else is done.
    LEASE_UNCERTAIN = auto()


ROLE_TRANSITIONS = {
    Role.FOLLOWER: frozenset({Role.LEADING}),
    Role.LEADING: frozenset({Role.LEASE_UNCERTAIN, Role.FOLLOWER}),
    Role.LEASE_UNCERTAIN: frozenset({Role.LEADING, Role.FOLLOWER}),
}
