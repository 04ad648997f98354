"""Tests of the output and the exit codes of `elmthread links`."""

import asyncio
import threading
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pynetstring
import pytest

from elmthread import cli
from elmthread.peers.messages import LeaderAnnouncement, encode
from elmthread.reachability.command import describe
from elmthread.reachability.links import LinkState
from elmthread.reachability.messages import LinkStatus, LinkViewMessage, encode_view
from tests.world.settings import NODES, settings

VIEW = LinkViewMessage(
    7,
    {},
    LinkStatus(LinkState.CONFIRMED, 0.21),
    {"loom-1": LinkStatus(LinkState.CUT, 9.04), "loom-2": LinkStatus(LinkState.DOUBTFUL)},
    {"east": LinkStatus(LinkState.CONFIRMED, 3.6)},
    in_backoff=True,
)
ANNOUNCEMENT = LeaderAnnouncement("loom-0", 41, "loom-0", misdirected_count=3, links=msgspec.Raw(encode_view(VIEW)))


def test_each_link_is_printed_with_its_age() -> None:
    assert describe("loom-0", ANNOUNCEMENT) == [
        "loom-0: leads, token 41",
        "  3 machines came here that do not reach the leader",
        "  state service: confirmed, last confirmed 0.2 s ago",
        "  loom-1: cut, last confirmed 9.0 s ago",
        "  loom-2: doubtful, never confirmed",
        "  workers of east: confirmed, last confirmed 3.6 s ago",
        "  leaves leadership to others for a while",
    ]
    without_links = describe("loom-1", LeaderAnnouncement("loom-0", 41, "loom-1"))
    assert without_links[0] == "loom-1: follows loom-0, token 41" and "not active" in without_links[1]
    broken = describe("loom-1", LeaderAnnouncement(None, 41, "loom-1", links=msgspec.Raw(b'{"number":-1}')))
    assert broken[0] == "loom-1: follows nobody, token 41" and "can't be read" in broken[1]


@pytest.fixture
def server_address() -> Iterator[str]:
    """Yield the address of a server that sends an announcement as a controller does."""
    loop = asyncio.new_event_loop()

    async def announce(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(pynetstring.encode(encode(ANNOUNCEMENT)))
        await reader.read()
        writer.close()

    server = loop.run_until_complete(asyncio.start_server(announce, "127.0.0.1", 0))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    server.close()
    loop.run_until_complete(server.wait_closed())
    loop.close()


def test_missing_announcements_and_invalid_settings_are_reported(
    server_address: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config = tmp_path / "settings.toml"
    text = settings("loom-0", NODES[:2]).replace('peer_listen = "10.0.0.1:8081"', f'peer_listen = "{server_address}"')
    config.write_text(text.replace('address = "10.0.0.1:8081"', 'address = "127.0.0.1:1"'))
    assert cli.main(["links", "--config", str(config)]) == 1
    printed = capsys.readouterr()
    assert "loom-0: leads, token 41" in printed.out and printed.err.startswith("loom-1: nothing told: 127.0.0.1:1: ")
    config.write_text(text.replace('site = "east"', "site = 5", 1))
    assert cli.main(["links", "--config", str(config)]) == 2
    assert str(config) in capsys.readouterr().err
