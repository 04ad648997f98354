"""Links between controllers, over real sockets on loopback."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from elmthread.common.clock import seconds
from elmthread.peers.link import Peers, PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(main, 20))


def test_peers_ask_hear_and_survive_rubbish() -> None:
    async def main() -> None:
        heard: list[LeaderAnnouncement] = []

        async def answer(ask: ForwardedRequest) -> ForwardedResponse:
            if ask.verb == "status":
                await asyncio.sleep(5)
            return ForwardedResponse(0, 200, {"id": ask.job_id}, 1.5)

        def say() -> LeaderAnnouncement:
            return LeaderAnnouncement("b", 7)

        probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        one = Peers({"b": ("127.0.0.1", port)}, answer, heard.append, say)
        two = Peers({}, answer, heard.append, say)
        tasks = [asyncio.create_task(two.run("127.0.0.1", port)), asyncio.create_task(one.run("127.0.0.1", 0))]
        while not one.reaches("b"):
            await asyncio.sleep(0.05)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b'5:[1,2],10:{"kind":1},')
        _, other = await asyncio.open_connection("127.0.0.1", port)
        other.write(b"300000:" + b"x" * 300_000)
        await other.drain()
        reply = await one.ask("b", ForwardedRequest(0, "submit", "run-1"), seconds(2))
        assert reply.status == 200 and reply.body == {"id": "run-1"} and reply.retry_after_s == 1.5
        try:
            await one.ask("b", ForwardedRequest(0, "status", "run-1"), seconds(0.2))
            raise AssertionError("an answer out of nothing")
        except PeerUnreachableError:
            pass
        await asyncio.sleep(1.2)
        # The two that were no messages, and what was longer than any frame may be.
        assert two.dropped.count == 3
        assert LeaderAnnouncement("b", 7) in heard
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(main())
