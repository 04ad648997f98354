"""`elmthread links`: what each controller can confirm of its links, as it announces it to the others."""

import asyncio
import sys
from datetime import timedelta

import msgspec
import pynetstring

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.peers.messages import LeaderAnnouncement, decode
from elmthread.reachability.messages import LinkStatus, LinkViewMessage
from elmthread.settings.platform import Platform, parse_address

OK, FAILED = 0, 1
# Controllers announce themselves each second.
ANNOUNCED_WITHIN = seconds(2.5)
MOST_BYTES = 64 * 1024


class NotToldError(ElmthreadError):
    """A controller could not be reached, or did not announce itself in time."""


def run(platform: Platform, within: timedelta = ANNOUNCED_WITHIN) -> int:
    """Prints each controller's links; exits with 1 where one of them tells nothing."""
    addresses = {platform.node: platform.peer_listen} | {peer.node: peer.address for peer in platform.peers}
    told = asyncio.run(_ask_all(addresses, within))
    for node in sorted(told):
        found = told[node]
        if isinstance(found, NotToldError):
            print(f"{node}: nothing told: {found}", file=sys.stderr)
        else:
            print("\n".join(describe(node, found)))
    return FAILED if any(isinstance(found, NotToldError) for found in told.values()) else OK


def describe(node: str, announcement: LeaderAnnouncement) -> list[str]:
    """The links of one controller, line by line."""
    leader = announcement.leader or "nobody"
    lines = [f"{node}: {'leads' if leader == node else f'follows {leader}'}, token {announcement.fencing_token}"]
    if announcement.strays:
        lines.append(f"  {announcement.strays} machines came here that do not reach the leader")
    if announcement.links is msgspec.UNSET:
        return [*lines, "  tells nothing of its links: their exchange is not active (elmthread rollout status)"]
    try:
        view: LinkViewMessage = msgspec.json.decode(announcement.links, type=LinkViewMessage)
    except msgspec.MsgspecError as error:
        return [*lines, f"  its view can't be read: {error}"]
    lines.append(f"  state service: {_status(view.store)}")
    lines += [f"  {other}: {_status(status)}" for other, status in sorted(view.peers.items())]
    lines += [f"  workers of {zone}: {_status(status)}" for zone, status in sorted(view.workers.items())]
    if view.resting:
        lines.append("  leaves leadership to others for a while")
    return lines


def _status(status: LinkStatus) -> str:
    if status.age_s is None:
        return f"{status.state.value}, never confirmed"
    return f"{status.state.value}, last confirmed {status.age_s:.1f} s ago"


async def _ask_all(addresses: dict[str, str], within: timedelta) -> dict[str, LeaderAnnouncement | NotToldError]:
    asked = [ask(address, within) for address in addresses.values()]
    return dict(zip(addresses, await asyncio.gather(*asked), strict=True))


async def ask(address: str, within: timedelta) -> LeaderAnnouncement | NotToldError:
    """What the controller that listens there for others announces next."""
    try:
        async with asyncio.timeout(within.total_seconds()):
            reader, writer = await asyncio.open_connection(*parse_address(address))
            try:
                return await _next_announcement(reader)
            finally:
                writer.transport.abort()
    except TimeoutError:
        return NotToldError(f"{address}: no announcement within {within.total_seconds()} s")
    except (OSError, pynetstring.ParseError, msgspec.MsgspecError) as error:
        return NotToldError(f"{address}: {error}")


async def _next_announcement(reader: asyncio.StreamReader) -> LeaderAnnouncement | NotToldError:
    decoder = pynetstring.Decoder(MOST_BYTES)
    while data := await reader.read(MOST_BYTES):
        for frame in decoder.feed(data):
            message = decode(frame)
            if isinstance(message, LeaderAnnouncement):
                return message
    return NotToldError("the connection was closed")
