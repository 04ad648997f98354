"""The parts of a node that the API uses, whether the node leads or not."""

from collections.abc import Callable

import msgspec

from elmthread.api.job_service import JobService
from elmthread.common.clock import Clock
from elmthread.common.overload import OverloadControl
from elmthread.leadership.election import Election
from elmthread.peers.network import PeerNetwork
from elmthread.rollout.gate import CompatibilityGate


class ApiNode(msgspec.Struct, frozen=True):
    """The node's name and the parts of its process."""

    name: str
    election: Election
    peers: PeerNetwork
    # Whether this process may serve at all.
    gate: CompatibilityGate
    overload_control: OverloadControl
    clock: Clock
    # The service of the present term, while this node leads with a complete state.
    leading_service: Callable[[], JobService | None]
