"""Requests of this node itself to the other controllers."""

from elmthread.common.clock import seconds
from elmthread.peers.connection import PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, RequestVerb
from elmthread.peers.network import PeerNetwork

RESPONSE_TIMEOUT = seconds(1)


class PeerRequests:
    """Asks the other controllers about their terms and processes."""

    def __init__(self, network: PeerNetwork) -> None:
        """`network` carries the requests."""
        self._network = network

    async def get_process(self, node: str) -> str | None:
        """Return the process that a node runs; None where its version has no name for it.

        Raises PeerUnreachableError.
        """
        response = await self._network.request(node, ForwardedRequest(0, RequestVerb.GET_PROCESS, ""), RESPONSE_TIMEOUT)
        return (response.body or {}).get("process") if response.status == 200 else None

    async def confirms_no_later_term(self, node: str, fencing_token: int) -> bool:
        """Return whether a node confirms that it has won no later term than that of the token."""
        request = ForwardedRequest(0, RequestVerb.CONFIRM_NO_LATER_TERM, "", fencing_token)
        try:
            response = await self._network.request(node, request, RESPONSE_TIMEOUT)
        except PeerUnreachableError:
            return False
        return response.status == 200
