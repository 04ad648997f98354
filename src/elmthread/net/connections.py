"""Limits on a server's open connections: their total, their number per client class, and their idle time."""

import asyncio
import logging
from dataclasses import dataclass
from datetime import timedelta

from elmthread.common.clock import Clock, seconds

log = logging.getLogger(__name__)

# A connection is closed if a request is not received completely, or no next request begins, within these times.
REQUEST_TIMEOUT = seconds(10)
IDLE_TIMEOUT = seconds(75)


@dataclass(slots=True, frozen=True)
class ConnectionLimit:
    """A limit for the class of clients that request `path`; the remaining connections are left to other clients."""

    path: str
    # Maximum number of this class, out of all connections of the server.
    max_connections: int
    idle_timeout: timedelta


@dataclass(slots=True, eq=False)
class Connection:
    """One open connection."""

    writer: asyncio.StreamWriter
    expires_at: timedelta
    last_active_at: timedelta
    last_response_at: timedelta | None = None
    # No request is being received or handled.
    idle: bool = True
    # Counts against the ConnectionLimit.
    limited: bool = False


class ConnectionTable:
    """All open connections of a server."""

    def __init__(self, max_connections: int, clock: Clock, limit: ConnectionLimit | None) -> None:
        """Allow `max_connections` in total, and for the path of `limit` as many of them as it allows."""
        self._max_connections = max_connections
        self._clock = clock
        self._limit = limit
        self._open: set[Connection] = set()
        self.limited_count = 0
        self.refused_count = 0

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def open(self, writer: asyncio.StreamWriter) -> Connection | None:
        """Add a connection and return it, or return None if `max_connections` are open and none of them is stale."""
        now = self._clock()
        if len(self._open) >= self._max_connections and not self._evict_stale(now):
            self._record_refusal(self._max_connections)
            return None
        connection = Connection(writer, now + IDLE_TIMEOUT, now)
        self._open.add(connection)
        return connection

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._open.discard(connection)
        self.limited_count -= connection.limited

    def admit(self, connection: Connection, path: str) -> bool:
        """Return whether a request for the path may be served on the connection.

        The client's class is known only once it has sent a request, so its limit is checked here.
        """
        if connection.limited or self._limit is None or path != self._limit.path:
            return True
        if self.limited_count >= self._limit.max_connections and not self._evict_stale(self._clock()):
            self._record_refusal(self._limit.max_connections)
            return False
        connection.limited = True
        self.limited_count += 1
        return True

    def data_received(self, connection: Connection) -> None:
        """Record that a request is being received; it must be complete within REQUEST_TIMEOUT."""
        connection.idle = False
        connection.expires_at = min(connection.expires_at, self._clock() + REQUEST_TIMEOUT)

    def request_received(self, connection: Connection) -> None:
        """Record that a request has been received completely; the response must be sent within IDLE_TIMEOUT."""
        connection.expires_at = self._clock() + IDLE_TIMEOUT

    def response_sent(self, connection: Connection) -> None:
        """Record that the connection is idle until the next request."""
        connection.idle = True
        connection.last_active_at = self._clock()
        idle_timeout = self._limit.idle_timeout if connection.limited and self._limit else IDLE_TIMEOUT
        connection.expires_at = connection.last_active_at + idle_timeout

    def close_expired(self) -> None:
        """Close the connections that have expired."""
        now = self._clock()
        for connection in [candidate for candidate in self._open if candidate.expires_at < now]:
            connection.writer.transport.abort()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.writer.transport.abort()

    def _evict_stale(self, now: timedelta) -> bool:
        """Close the limited connection idle for longest and return True, or False if none is idle for half its timeout.

        Clients that lost the network or were restarted leave stale connections behind and open new ones.
        """
        if self._limit is None:
            return False
        idle = (candidate for candidate in self._open if candidate.limited and candidate.idle)
        stale = min(idle, key=lambda candidate: candidate.last_active_at, default=None)
        if stale is None or now - stale.last_active_at < self._limit.idle_timeout / 2:
            return False
        self._open.discard(stale)
        self.limited_count -= 1
        stale.limited = False
        stale.writer.transport.abort()
        return True

    def _record_refusal(self, limit: int) -> None:
        self.refused_count += 1
        log.info("connection refused: %s are open already (%s refused so far)", limit, self.refused_count)
