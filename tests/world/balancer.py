"""A simulated load balancer: probes /ready and picks a healthy node with few open connections."""

import asyncio
from collections import deque

from elmthread.net.http_messages import Response
from tests.world.settings import NODES
from tests.world.world import World


class Balancer:
    """Takes a node out after two failed probes in a row or three of six; two successful ones add it back.

    A node stays out for its pause at least, which doubles each time up to a minute.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.open = dict.fromkeys(NODES, 0)
        self.probes: dict[str, deque[bool]] = {node: deque(maxlen=6) for node in NODES}
        self.healthy: set[str] = set()
        self.known: set[str] = set()
        self.pause = dict.fromkeys(NODES, 3.0)
        self.out_until = dict.fromkeys(NODES, 0.0)
        self.task = world.loop.create_task(self._probe())

    async def _probe(self) -> None:
        while True:
            for node in NODES:
                self._judge(node, await self._ready(node))
            await asyncio.sleep(1)

    async def _ready(self, node: str) -> bool:
        if node not in self.world.controllers or node in self.world.cut_nodes:
            return False
        return (await self.world.ask("GET", "/ready", node=node)).status == 200

    def _judge(self, node: str, good: bool) -> None:
        seen = self.probes[node]
        seen.append(good)
        now = self.world.loop.now
        if node in self.healthy:
            if list(seen)[-2:] == [False, False] or list(seen).count(False) >= 3:
                self.healthy.discard(node)
                self.out_until[node] = now + self.pause[node]
                self.pause[node] = min(self.pause[node] * 2, 60.0)
        elif good and node not in self.known:
            self.known.add(node)
            self.healthy.add(node)
        elif list(seen)[-2:] == [True, True] and now >= self.out_until[node]:
            seen.clear()
            self.healthy.add(node)

    async def ask(self, method: str, path: str, body: object = None) -> Response | None:
        """Send a request to one of up to three healthy nodes; return None if none accepts the connection."""
        for node in sorted(self.healthy, key=lambda node: self.open[node])[:3]:
            if node not in self.world.controllers:
                continue
            self.open[node] += 1
            try:
                return await self.world.ask(method, path, body, node=node)
            finally:
                self.open[node] -= 1
        return None
