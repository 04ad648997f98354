"""A simulated load balancer: probes /ready and picks a healthy node with few open connections."""

import asyncio
from collections import deque

from elmthread.net.http_messages import Response
from tests.world.settings import NODES
from tests.world.world import World


class Balancer:
    """Excludes a node after two failed probes in a row, or three of the last six.

    The exclusion lasts 3 s at first, and twice as long each further time, up to a minute. After that, two successful
    probes in a row add the node back. A node that was never healthy is added after one.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.open_connections = dict.fromkeys(NODES, 0)
        self.recent_probes: dict[str, deque[bool]] = {node: deque(maxlen=6) for node in NODES}
        self.healthy: set[str] = set()
        self.ever_healthy: set[str] = set()
        self.pause_s = dict.fromkeys(NODES, 3.0)
        self.excluded_until = dict.fromkeys(NODES, 0.0)
        self.probe_task = world.loop.create_task(self._probe())

    async def _probe(self) -> None:
        while True:
            for node in NODES:
                self._record_probe(node, await self._ready(node))
            await asyncio.sleep(1)

    async def _ready(self, node: str) -> bool:
        if node not in self.world.controllers or node in self.world.cut_nodes:
            return False
        return (await self.world.ask("GET", "/ready", node=node)).status == 200

    def _record_probe(self, node: str, succeeded: bool) -> None:
        recent = self.recent_probes[node]
        recent.append(succeeded)
        now = self.world.loop.now
        if node in self.healthy:
            if list(recent)[-2:] == [False, False] or list(recent).count(False) >= 3:
                self.healthy.discard(node)
                self.excluded_until[node] = now + self.pause_s[node]
                self.pause_s[node] = min(self.pause_s[node] * 2, 60.0)
        elif succeeded and node not in self.ever_healthy:
            self.ever_healthy.add(node)
            self.healthy.add(node)
        elif list(recent)[-2:] == [True, True] and now >= self.excluded_until[node]:
            recent.clear()
            self.healthy.add(node)

    async def ask(self, method: str, path: str, body: object = None) -> Response | None:
        """Send a request to a running one of the three healthy nodes with the fewest connections; None if none runs."""
        for node in sorted(self.healthy, key=lambda node: self.open_connections[node])[:3]:
            if node not in self.world.controllers:
                continue
            self.open_connections[node] += 1
            try:
                return await self.world.ask(method, path, body, node=node)
            finally:
                self.open_connections[node] -= 1
        return None
