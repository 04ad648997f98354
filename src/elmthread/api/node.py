"""The components of a node that the API uses, on the leader and on the other nodes."""

from collections.abc import Callable

import msgspec

from elmthread.api.job_service import JobService
from elmthread.common.clock import Clock
from elmthread.common.overload import OverloadControl
from elmthread.leadership.election import Election
from elmthread.peers.network import PeerNetwork
from elmthread.rollout.gate import CompatibilityGate


class ApiNode(msgspec.Struct, frozen=True):
    """The node's name and the components of its process."""

    name: str
    election: Election
    peers: PeerNetwork
    # Decides whether this process may serve requests.
    gate: CompatibilityGate
    overload_control: OverloadControl
    clock: Clock
    # Returns the service of the current term if this node's leader lease is valid and its state is loaded, else None.
    leading_service: Callable[[], JobService | None]
