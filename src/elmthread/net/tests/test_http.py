"""The HTTP server and client over real sockets on the loopback interface."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import cbor2
import h11
import pytest

from elmthread.common.clock import seconds
from elmthread.net.connections import ConnectionLimit
from elmthread.net.http_client import HttpClient, NoResponseError, NotSentError
from elmthread.net.http_messages import Request, Response, retry_later
from elmthread.net.http_server import HttpServer


def run(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(main, 20))


async def start_server(
    handle: Callable[[Request], Awaitable[Response]], max_connections: int = 10
) -> tuple[HttpServer, int]:
    server = HttpServer(handle, max_connections)
    return server, await server.start("127.0.0.1", 0)


async def echo(request: Request) -> Response:
    if request.path == "/fail":
        raise RuntimeError("handler failed")
    if request.path == "/later":
        return retry_later(503, seconds(2), "later")
    return Response(200, {"path": request.path, "body": cbor2.loads(request.body) if request.body else None})


async def send_raw(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    response = await reader.read()
    writer.close()
    return response


def test_requests_reuse_a_connection_and_a_failing_handler_affects_no_other_request() -> None:
    async def main() -> None:
        server, port = await start_server(echo)
        client = HttpClient(f"127.0.0.1:{port}")
        for number in range(3):
            response = await client.call("POST", "/a", {"n": number}, timeout=seconds(5))
            assert (response.status, response.body["body"]) == (200, {"n": number})
        assert len(client._idle) == 1
        assert (await client.call("GET", "/fail", timeout=seconds(5))).status == 503
        assert (await client.call("GET", "/a", timeout=seconds(5))).status == 200
        await server.close()

    run(main())


def test_malformed_and_oversized_requests_get_400_and_are_disconnected() -> None:
    async def main() -> None:
        server, port = await start_server(echo)
        assert (await send_raw(port, b"nonsense\r\n\r\n")).startswith(b"HTTP/1.1 400")
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        # Rejected by its Content-Length, before any of the body is sent.
        assert (await send_raw(port, head % 70_000)).startswith(b"HTTP/1.1 400")
        chunked = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert (await send_raw(port, chunked + b"11170\r\n" + b"x" * 70_000 + b"\r\n")).startswith(b"HTTP/1.1 400")
        response = await send_raw(port, b"GET /later HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert b"retry-after: 2" in response.lower()
        await server.close()

    run(main())


def test_fragmented_and_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        server, port = await start_server(echo)
        body = cbor2.dumps({"n": 1})
        pipelined = b"POST /a?x=1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        final = b"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        response = await send_raw(port, pipelined + pipelined + final)
        assert response.count(b"HTTP/1.1 200") == 3 and response.index(b"/a") < response.index(b"/b")
        assert response.count(b"connection: close") == 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for byte in pipelined + final:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0)
        assert (await reader.read()).count(b"HTTP/1.1 200") == 2
        # An HTTP/1.0 request without keep-alive, and a chunked request, whose length is not known in advance.
        assert b"connection: close" in await send_raw(port, b"GET /a HTTP/1.0\r\n\r\n")
        chunked = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        parts = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        assert b"HTTP/1.1 200" in await send_raw(port, chunked + parts + b"0\r\n\r\n")
        await server.close()

    run(main())


def test_a_shared_response_closes_only_connections_whose_client_asked_for_it() -> None:
    shared_response = retry_later(429, seconds(2), "too much to do")

    async def handle(request: Request) -> Response:
        return shared_response

    async def main() -> None:
        server, port = await start_server(handle)
        assert b"connection: close" in await send_raw(port, b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        client = HttpClient(f"127.0.0.1:{port}")
        assert (await client.call("GET", "/a", timeout=seconds(5))).status == 429
        assert len(client._idle) == 1 and not shared_response.close
        await server.close()

    run(main())


def test_invalid_and_unbounded_requests_are_rejected_without_being_buffered() -> None:
    async def main() -> None:
        server, port = await start_server(echo)
        for data in (
            b"GET /" + b"x" * 40_000,
            b"GET /a HTTP/1.1\r\nHost: x\r\n" + b"x-more: y\r\n" * 4_000,
            b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n",
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"\x16\x03\x01\x02\x00",
        ):
            try:
                assert (await send_raw(port, data)).startswith(b"HTTP/1.1 400"), data[:60]
            except ConnectionError:
                pass  # The server closed the connection while the client was still sending.
        # Later connections are served as usual.
        response = await send_raw(port, b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 200")
        await server.close()

    run(main())


def test_repeated_heartbeats_are_handled_without_h11(monkeypatch: pytest.MonkeyPatch) -> None:
    """On small controllers h11 took more than half of the cost of handling a heartbeat."""
    h11_calls: list[str] = []
    for name in ("next_event", "send"):
        original = getattr(h11.Connection, name)

        def count_call(conn: h11.Connection, *args: Any, name: str = name, original: Any = original) -> Any:
            if conn.our_role is h11.SERVER:
                h11_calls.append(name)
            return original(conn, *args)

        monkeypatch.setattr(h11.Connection, name, count_call)

    async def main() -> None:
        server, port = await start_server(echo)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(50):
            writer.write(b"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n\xa0")
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
        assert len(h11_calls) <= 2
        writer.close()
        await server.close()

    run(main())


def test_slow_clients_are_disconnected_and_connections_are_limited() -> None:
    async def main() -> None:
        now = [seconds(0)]
        server = HttpServer(echo, 2, lambda: now[0])
        port = await server.start("127.0.0.1", 0)
        expiry_task = asyncio.create_task(server.close_expired())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /a HTTP/1.1\r\nHost: x\r\n")
        _, second = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.1)
        third, _ = await asyncio.open_connection("127.0.0.1", port)
        try:
            assert await third.read() == b""
        except ConnectionError:
            pass
        now[0] = seconds(11)
        try:
            assert await reader.read() == b""
        except ConnectionError:
            pass
        expiry_task.cancel()
        second.close()
        await server.close()

    run(main())


def test_client_raises_an_error_if_no_response_arrives_in_time() -> None:
    async def hang(request: Request) -> Response:
        await asyncio.sleep(10)
        return Response(200)

    async def main() -> None:
        server, port = await start_server(hang)
        for address in (f"127.0.0.1:{port}", "127.0.0.1:1"):
            try:
                await HttpClient(address).call("GET", "/a", timeout=seconds(0.2))
            except NoResponseError:
                continue
            raise AssertionError("call returned a response although no server sent one")
        await server.close()

    run(main())


def test_messages_whose_precondition_fails_are_not_sent() -> None:
    """A process may be suspended between making a response or a request and sending it, which makes it outdated."""
    served: list[str] = []

    async def handle(request: Request) -> Response:
        served.append(request.path)
        return Response(200, {"state": "old"}, precondition=lambda: request.path != "/unsure")

    async def main() -> None:
        server, port = await start_server(handle)
        client = HttpClient(f"127.0.0.1:{port}")
        assert (await client.call("GET", "/sure", timeout=seconds(5))).status == 200
        response = await client.call("GET", "/unsure", timeout=seconds(5))
        assert response.status == 503 and response.body != {"state": "old"}
        head = await send_raw(port, b"GET /unsure HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert b"retry-after: 1" in head.lower()
        served.clear()
        try:
            await client.call("POST", "/rent", {}, timeout=seconds(5), precondition=lambda: False)
            raise AssertionError("request was sent although its precondition does not hold")
        except NotSentError:
            pass
        assert (await client.call("POST", "/rent", {}, timeout=seconds(5), precondition=lambda: True)).status == 200
        assert served == ["/rent"]
        await server.close()

    run(main())


def test_limited_clients_leave_connections_to_others_and_stale_ones_are_evicted() -> None:
    async def main() -> None:
        now = [seconds(0)]
        server = HttpServer(echo, 6, lambda: now[0], ConnectionLimit("/beat", 4, seconds(10)))
        port = await server.start("127.0.0.1", 0)
        clients = [HttpClient(f"127.0.0.1:{port}") for _ in range(7)]

        async def get_status(number: int, path: str) -> int:
            return (await clients[number].call("GET", path, timeout=seconds(5))).status

        assert [await get_status(number, "/beat") for number in range(4)] == [200] * 4
        # A fifth connection for the limited path is rejected; other paths are still served.
        assert await get_status(4, "/beat") == 503
        assert [await get_status(number, "/a") for number in (5, 6)] == [200] * 2
        # Clients 2 and 3 send nothing more; their connections are closed to make room for client 4.
        now[0] = seconds(4)
        assert [await get_status(number, "/beat") for number in (0, 1)] == [200] * 2
        now[0] = seconds(6)
        assert await get_status(4, "/beat") == 200
        assert [await get_status(number, "/beat") for number in (0, 1)] == [200] * 2
        assert server.connections.limited_count == 4 and len(server.connections) == 6
        now[0] = seconds(20)
        expiry_task = asyncio.create_task(server.close_expired())
        await asyncio.sleep(2.2)
        assert server.connections.limited_count == 0
        expiry_task.cancel()
        await server.close()

    run(main())
