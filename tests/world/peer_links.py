"""Peer links between the simulated controllers, without sockets."""

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from elmthread.peers.messages import ForwardedRequest, ForwardedResponse
from elmthread.peers.network import PeerNetwork

if TYPE_CHECKING:
    from tests.world.nodes import ControllerNodes


def simulated_peers(world: "ControllerNodes", node: str) -> type[PeerNetwork]:
    """Return the class of the node's peer links, with the method names of the node's version."""
    version = world.version(node)
    links_class: type[PeerNetwork] = version.lookup("peers.network", "PeerNetwork")
    unreachable: type[Exception] = version.lookup("peers.connection", "PeerUnreachableError")

    class SimulatedPeers(links_class):  # type: ignore[valid-type, misc]
        """Peer links without sockets."""

        def is_connected(self, other: str) -> bool:
            return world.passes(node, other) and world.passes(other, node)

        async def request(self, other: str, request: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
            await asyncio.sleep(0.002 + world.link_faults.delay(node, other))
            if not world.passes(node, other):
                raise unreachable(other)
            decoded = world.as_decoded_by(request, other)
            try:
                async with asyncio.timeout(timeout.total_seconds()):
                    reply = await world.run_on_node(other, world.controllers[other].api.handle_peer_request(decoded))
            except TimeoutError:
                raise unreachable(other) from None
            await asyncio.sleep(world.link_faults.delay(other, node))
            if not world.passes(other, node):
                raise unreachable(other)
            answer: ForwardedResponse = world.as_decoded_by(reply, node)
            return answer

        def announce(self) -> None:
            announcement = version.announcement(self)
            for other in world.nodes:
                if other != node and world.passes(node, other):
                    receive = world.controllers[other].handle_announcement
                    decoded = world.as_decoded_by(announcement, other)
                    delay_s = 0.003 + world.link_faults.delay(node, other)
                    world.loop.call_later(delay_s, receive, decoded, context=world.contexts[other])
                    if world.link_faults.has("duplicate", node, other):
                        world.loop.call_later(delay_s + 1.0, receive, decoded, context=world.contexts[other])

    return version.peers(SimulatedPeers)
