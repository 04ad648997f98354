"""The interface through which `PeerNetwork` passes the other controllers' messages to this controller."""

from typing import Protocol

from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement


class PeerMessageHandler(Protocol):
    """Handles the messages of other controllers."""

    async def handle_request(self, request: ForwardedRequest) -> ForwardedResponse:
        """Process a request of another controller and return the response."""

    def handle_announcement(self, announcement: LeaderAnnouncement) -> None:
        """Process an announcement of another controller."""

    def make_announcement(self) -> LeaderAnnouncement:
        """Return the announcement of this node's current state."""
