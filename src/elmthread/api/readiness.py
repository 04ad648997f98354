"""The readiness check: whether the load balancer should send users to this node."""

from datetime import timedelta

from elmthread.api import responses
from elmthread.api.node import ApiNode
from elmthread.common.clock import seconds
from elmthread.net.http_messages import Response

# A node that can't reach the leader becomes unready after this time, as other nodes may still reach it.
UNREACHABLE_LEADER_GRACE = seconds(2.8)
# Without a leader all nodes are equally unable to serve, so they stay ready for longer: a node that the load balancer
# has taken out of service would stay out for a while after a leader is elected.
NO_LEADER_GRACE = seconds(60)


class Readiness:
    """Determines readiness from the time at which this node could last serve users."""

    def __init__(self, node: ApiNode) -> None:
        """Start as not ready, until a leader is reached."""
        self._node = node
        self._last_able_to_serve_at: timedelta | None = None

    def check(self) -> Response:
        """Return the response to the load balancer: 200 if users may be sent here."""
        if not self._node.gate.admitted:
            return responses.retry("not admitted")
        leader = self._node.election.leader
        now = self._node.clock()
        if self._node.leading_service() is not None or (leader is not None and self._node.peers.is_connected(leader)):
            self._last_able_to_serve_at = now
        other_node_leads = leader is not None and leader != self._node.name
        grace = UNREACHABLE_LEADER_GRACE if other_node_leads else NO_LEADER_GRACE
        if self._last_able_to_serve_at is not None and now - self._last_able_to_serve_at < grace:
            return Response(200, {"ready": True})
        return responses.retry("no leader")
