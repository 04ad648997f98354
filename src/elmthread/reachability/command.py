"""`elmthread links`: prints the state of each controller's links as the controllers announce it."""

import asyncio
import sys
from contextlib import aclosing
from datetime import timedelta

import msgspec
import pynetstring

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.peers.framing import read_frames
from elmthread.peers.messages import LeaderAnnouncement, decode
from elmthread.reachability.messages import LinkStatus, LinkViewMessage
from elmthread.settings.platform import PlatformSettings, parse_address

OK, FAILED = 0, 1
# Controllers send an announcement every second.
ANNOUNCEMENT_TIMEOUT = seconds(2.5)
MAX_FRAME_BYTES = 64 * 1024


class NoAnnouncementError(ElmthreadError):
    """The controller could not be reached, or sent no announcement in time."""


class NodeReport(msgspec.Struct, frozen=True):
    """The output for one controller."""

    lines: list[str]
    # Whether the controller could be reached and sent an announcement.
    announced: bool


def run(platform: PlatformSettings, timeout: timedelta = ANNOUNCEMENT_TIMEOUT) -> int:
    """Print each controller's links; return 1 if any controller sent no announcement."""
    addresses = {platform.node: platform.peer_listen} | {peer.node: peer.address for peer in platform.peers}
    reports = asyncio.run(_report_all(addresses, timeout))
    for report in reports:
        print("\n".join(report.lines), file=sys.stdout if report.announced else sys.stderr)
    return OK if all(report.announced for report in reports) else FAILED


def describe(node: str, announcement: LeaderAnnouncement) -> list[str]:
    """Return the lines that describe one controller's links."""
    leader = announcement.leader or "nobody"
    lines = [f"{node}: {'leads' if leader == node else f'follows {leader}'}, token {announcement.fencing_token}"]
    if announcement.misdirected_count:
        lines.append(f"  {announcement.misdirected_count} machines came here that do not reach the leader")
    if announcement.links is msgspec.UNSET:
        return [*lines, "  tells nothing of its links: their exchange is not active (elmthread rollout status)"]
    try:
        view: LinkViewMessage = msgspec.json.decode(announcement.links, type=LinkViewMessage)
    except msgspec.MsgspecError as error:
        return [*lines, f"  its view can't be read: {error}"]
    lines.append(f"  state service: {_format_status(view.store)}")
    lines += [f"  {other}: {_format_status(status)}" for other, status in sorted(view.peers.items())]
    lines += [f"  workers of {zone}: {_format_status(status)}" for zone, status in sorted(view.workers.items())]
    if view.in_backoff:
        lines.append("  leaves leadership to others for a while")
    return lines


def _format_status(status: LinkStatus) -> str:
    if status.age_s is None:
        return f"{status.state.value}, never confirmed"
    return f"{status.state.value}, last confirmed {status.age_s:.1f} s ago"


async def _report_all(addresses: dict[str, str], timeout: timedelta) -> list[NodeReport]:
    """Return the report of each controller, ordered by node name."""
    return await asyncio.gather(*(_report(node, address, timeout) for node, address in sorted(addresses.items())))


async def _report(node: str, address: str, timeout: timedelta) -> NodeReport:
    try:
        announcement = await read_announcement(address, timeout)
    except NoAnnouncementError as error:
        return NodeReport([f"{node}: nothing told: {error}"], announced=False)
    return NodeReport(describe(node, announcement), announced=True)


async def read_announcement(address: str, timeout: timedelta) -> LeaderAnnouncement:
    """Return the next announcement of the controller at a peer address. Raises NoAnnouncementError."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            reader, writer = await asyncio.open_connection(*parse_address(address))
            try:
                return await _next_announcement(reader)
            finally:
                writer.transport.abort()
    except TimeoutError:
        raise NoAnnouncementError(f"{address}: no announcement within {timeout.total_seconds()} s") from None
    except (OSError, pynetstring.ParseError, msgspec.MsgspecError) as error:
        raise NoAnnouncementError(f"{address}: {error}") from error


async def _next_announcement(reader: asyncio.StreamReader) -> LeaderAnnouncement:
    async with aclosing(read_frames(reader, max_frame_bytes=MAX_FRAME_BYTES)) as frames:
        async for frame in frames:
            message = decode(frame)
            if isinstance(message, LeaderAnnouncement):
                return message
    raise NoAnnouncementError("the connection was closed")
