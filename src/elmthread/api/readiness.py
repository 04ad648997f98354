"""Readiness: whether the load balancer is to send users to this node."""

from datetime import timedelta

from elmthread.api import responses
from elmthread.api.node import ApiNode
from elmthread.common.clock import seconds
from elmthread.net.http_messages import Response

# A node that can't reach the leader is no longer ready after this time, as other nodes may reach it.
UNREACHED_LEADER_GRACE = seconds(2.8)
# Without a leader no node can serve better than another. A node that the load balancer takes out of service
# would be missing for a while after a leader is elected.
NO_LEADER_GRACE = seconds(60)


class Readiness:
    """Remembers when this node could last serve users."""

    def __init__(self, node: ApiNode) -> None:
        """Start not ready, until a leader has been reached."""
        self._node = node
        self._could_serve_at: timedelta | None = None

    def check(self) -> Response:
        """Return the response to the load balancer: 200 if users may be sent here."""
        if not self._node.gate.admitted:
            return responses.retry("not admitted")
        leader = self._node.election.leader
        now = self._node.clock()
        if self._node.leading_service() is not None or (leader is not None and self._node.peers.is_connected(leader)):
            self._could_serve_at = now
        other_leads = leader is not None and leader != self._node.name
        grace = UNREACHED_LEADER_GRACE if other_leads else NO_LEADER_GRACE
        if self._could_serve_at is not None and now - self._could_serve_at < grace:
            return Response(200, {"ready": True})
        return responses.retry("no leader")
