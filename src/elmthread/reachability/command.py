"""`elmthread links`: what each controller can confirm of its links, as it announces it to the others."""

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
from elmthread.settings.platform import Platform, parse_address

OK, FAILED = 0, 1
# Controllers announce themselves each second.
ANNOUNCEMENT_TIMEOUT = seconds(2.5)


class NoAnnouncementError(ElmthreadError):
    """A controller could not be reached, or did not announce itself in time."""


def run(platform: Platform, timeout: timedelta = ANNOUNCEMENT_TIMEOUT) -> int:
    """Print each controller's links; return 1 where one of them announces nothing."""
    addresses = {platform.node: platform.peer_listen} | {peer.node: peer.address for peer in platform.peers}
    announcements = asyncio.run(_read_all(addresses, timeout))
    for node in sorted(announcements):
        found = announcements[node]
        if isinstance(found, NoAnnouncementError):
            print(f"{node}: nothing told: {found}", file=sys.stderr)
        else:
            print("\n".join(describe(node, found)))
    return FAILED if any(isinstance(found, NoAnnouncementError) for found in announcements.values()) else OK


def describe(node: str, announcement: LeaderAnnouncement) -> list[str]:
    """Return the links of one controller, line by line."""
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
    lines.append(f"  state service: {_status(view.store)}")
    lines += [f"  {other}: {_status(status)}" for other, status in sorted(view.peers.items())]
    lines += [f"  workers of {zone}: {_status(status)}" for zone, status in sorted(view.workers.items())]
    if view.in_backoff:
        lines.append("  leaves leadership to others for a while")
    return lines


def _status(status: LinkStatus) -> str:
    if status.age_s is None:
        return f"{status.state.value}, never confirmed"
    return f"{status.state.value}, last confirmed {status.age_s:.1f} s ago"


async def _read_all(
    addresses: dict[str, str], timeout: timedelta
) -> dict[str, LeaderAnnouncement | NoAnnouncementError]:
    reads = [read_announcement(address, timeout) for address in addresses.values()]
    return dict(zip(addresses, await asyncio.gather(*reads), strict=True))


async def read_announcement(address: str, timeout: timedelta) -> LeaderAnnouncement | NoAnnouncementError:
    """Return what the controller that listens there for others announces next."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            reader, writer = await asyncio.open_connection(*parse_address(address))
            try:
                return await _next_announcement(reader)
            finally:
                writer.transport.abort()
    except TimeoutError:
        return NoAnnouncementError(f"{address}: no announcement within {timeout.total_seconds()} s")
    except (OSError, pynetstring.ParseError, msgspec.MsgspecError) as error:
        return NoAnnouncementError(f"{address}: {error}")


async def _next_announcement(reader: asyncio.StreamReader) -> LeaderAnnouncement | NoAnnouncementError:
    async with aclosing(read_frames(reader)) as frames:
        async for frame in frames:
            message = decode(frame)
            if isinstance(message, LeaderAnnouncement):
                return message
    return NoAnnouncementError("the connection was closed")
