"""Requests that this node sends to other controllers on its own behalf, not for a user."""

from elmthread.common.clock import seconds
from elmthread.peers.connection import PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, RequestVerb
from elmthread.peers.network import PeerNetwork

RESPONSE_TIMEOUT = seconds(1)


class PeerRequests:
    """Queries other controllers for their terms and processes."""

    def __init__(self, network: PeerNetwork) -> None:
        """Send requests over `network`."""
        self._network = network

    async def get_process(self, node: str) -> str | None:
        """Return the id of the process that a node runs; None if the node's version does not support the request.

        Raises PeerUnreachableError.
        """
        response = await self._network.request(node, ForwardedRequest(0, RequestVerb.GET_PROCESS, ""), RESPONSE_TIMEOUT)
        return (response.body or {}).get("process") if response.status == 200 else None

    async def confirms_no_later_term(self, node: str, fencing_token: int) -> bool:
        """Return whether a node confirms that it has not won a term later than that of the token."""
        request = ForwardedRequest(0, RequestVerb.CONFIRM_NO_LATER_TERM, "", fencing_token)
        try:
            response = await self._network.request(node, request, RESPONSE_TIMEOUT)
        except PeerUnreachableError:
            return False
        return response.status == 200
