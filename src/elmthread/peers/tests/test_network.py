"""Tests of the connections between controllers, over real sockets on the loopback interface."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from elmthread.common.clock import seconds
from elmthread.peers.connection import PeerAddress, PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement
from elmthread.peers.network import PeerNetwork


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(main, 20))


class Handler:
    """Responds to status requests after 5 s and to others immediately, and records the announcements."""

    def __init__(self) -> None:
        self.announcements: list[LeaderAnnouncement] = []

    async def handle_request(self, request: ForwardedRequest) -> ForwardedResponse:
        if request.verb == "status":
            await asyncio.sleep(5)
        return ForwardedResponse(0, 200, {"id": request.job_id}, 1.5)

    def handle_announcement(self, announcement: LeaderAnnouncement) -> None:
        self.announcements.append(announcement)

    def make_announcement(self) -> LeaderAnnouncement:
        return LeaderAnnouncement("b", 7)


def test_controllers_exchange_messages_and_reject_malformed_frames() -> None:
    async def main() -> None:
        handler = Handler()
        probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        client = PeerNetwork([PeerAddress("b", "127.0.0.1", port)], handler)
        server = PeerNetwork([], handler)
        tasks = [asyncio.create_task(server.run("127.0.0.1", port)), asyncio.create_task(client.run("127.0.0.1", 0))]
        while not client.is_connected("b"):
            await asyncio.sleep(0.05)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b'5:[1,2],10:{"kind":1},')
        _, second_writer = await asyncio.open_connection("127.0.0.1", port)
        second_writer.write(b"300000:" + b"x" * 300_000)
        await second_writer.drain()
        response = await client.request("b", ForwardedRequest(0, "submit", "run-1"), seconds(2))
        assert response.status == 200 and response.body == {"id": "run-1"} and response.retry_after_s == 1.5
        try:
            await client.request("b", ForwardedRequest(0, "status", "run-1"), seconds(0.2))
            raise AssertionError("received a response after the timeout")
        except PeerUnreachableError:
            pass
        await asyncio.sleep(1.2)
        # Two frames without a valid message, and one longer than the maximum.
        assert server.rejected.count == 3
        assert LeaderAnnouncement("b", 7) in handler.announcements
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(main())
