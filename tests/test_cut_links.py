"""Tests `tools/cut_links.py`: its forwarders, its schedules, and a run with real controllers on loopback."""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from elmthread.net.http_client import HttpClient
from elmthread.net.http_messages import Request, Response
from elmthread.net.http_server import HttpServer
from tests.world.links import LinkFaults
from tools import cut_links
from tools.forwarder import REFUSAL, Forwarder
from tools.loopback import CALL_TIMEOUT, real_loop

HOST = "127.0.0.1"


def run_with_timeout(main: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(main, 20))


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def test_each_direction_is_cut_separately_and_delayed_data_arrives_in_order() -> None:
    async def main() -> None:
        server = await asyncio.start_server(echo, HOST, 0)
        faults = LinkFaults()
        target = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        address = await Forwarder(faults, "a", "b", HOST, target).start()
        reader, writer = await asyncio.open_connection(HOST, int(address.split(":")[1]))
        for source, destination in (("a", "b"), ("b", "a")):
            active = faults.begin(source, destination, {"kind": "drop"})
            writer.write(b"one ")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await reader.read(1)
            writer.write(b"two")
            faults.end(active)
            assert await reader.readexactly(7) == b"one two"
        delay_fault = faults.begin("b", "a", {"kind": "delay", "delay_s": 0.3})
        sent_at = asyncio.get_running_loop().time()
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x" and asyncio.get_running_loop().time() - sent_at > 0.25
        faults.end(delay_fault)
        faults.begin("a", "b", {"kind": "refuse"})
        writer.write(b"GET /")
        assert await reader.read(1000) == REFUSAL
        writer.close()
        server.close()

    run_with_timeout(main())


def test_real_loop_closes_the_connections_that_clients_keep_open() -> None:
    """Guard against connections that outlive their loop: their garbage collection failed whichever test ran then."""

    async def respond(request: Request) -> Response:
        return Response(200, request.path)

    async def call_once() -> HttpClient:
        port = await HttpServer(respond, max_connections=5).start(HOST, 0)
        client = HttpClient(f"{HOST}:{port}")
        assert (await client.call("GET", "/ready", timeout=CALL_TIMEOUT)).body == "/ready"
        return client

    with real_loop() as loop:
        client = loop.run_until_complete(call_once())
        assert [connection.is_closed() for connection in client._idle] == [False]
    assert [connection.is_closed() for connection in client._idle] == [True]


def test_invalid_schedule_is_reported_before_anything_starts(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "schedule.toml"
    valid_fault = '[[faults]]\nat_s = 1\nfor_s = 2\nfrom = "leader"\nto = "store"\n'
    for text, message in (
        ("faults = 3", "faults: 3 is not of type 'array'"),
        (valid_fault + 'kind = "melt"', "faults.0.kind: 'melt' is not one of"),
        (valid_fault + "on_s = 1", "faults.0: on_s and off_s belong together"),
        (valid_fault + 'kind = "delay"', "faults.0: a delay needs delay_s"),
        ("[[faults", "Expected"),
    ):
        path.write_text(text)
        assert cut_links.main([str(path)]) == 2
        error = capsys.readouterr().err
        assert error.startswith(f"cut_links: {path}: ") and message in error and error.count("\n") == 1
    assert cut_links.main([str(tmp_path / "absent.toml")]) == 2


def test_real_controllers_end_every_job_once_when_the_leader_loses_the_workers(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "schedule.toml"
    path.write_text('[[faults]]\nat_s = 1\nfor_s = 9\nfrom = "leader"\nto = "workers"\nboth = true\n')
    assert cut_links.main([str(path)]) == 0
    output = capsys.readouterr().out
    # The disconnected leader reported that it gave up leadership, and another controller led before the cut ended.
    output_during_cut = output[output.index("begins: drop leader <-> workers") : output.index("ends: drop")]
    assert (
        "workers of" in output_during_cut
        and "leaves leadership to others" in output_during_cut
        and "rules broken: none" in output
    )
