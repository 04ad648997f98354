"""What a controller does with the messages of the others; the network of connections calls it."""

from typing import Protocol

from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement


class PeerMessageHandler(Protocol):
    """The side of a controller that the other controllers see."""

    async def handle_request(self, request: ForwardedRequest) -> ForwardedResponse:
        """Return the response to a request of another controller."""

    def handle_announcement(self, announcement: LeaderAnnouncement) -> None:
        """Note what another controller announces."""

    def make_announcement(self) -> LeaderAnnouncement:
        """Return this node's state, as the others are to know it now."""
