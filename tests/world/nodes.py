"""The simulated controllers: started, killed, paused and cut off; what they send each other and answer."""

import asyncio
import contextvars
import importlib
import inspect
import random
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

from elmthread.common.features import SUPPORTED, SupportedLevels
from elmthread.controller import Controller
from elmthread.net.http import UNSURE, Request, Response
from elmthread.peers.link import Peers
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse
from elmthread.settings.rollout import RolloutSettings
from tests.world.links import STORE, Fault, LinkFaults, SchedulePlayer
from tests.world.loop import NODE, SimLoop
from tests.world.rules import Rules
from tests.world.services import CloudStand, Port, StateStore, Trouble
from tests.world.settings import TYPES, ZONES, settings
from tests.world.workers import Worker

T = TypeVar("T")


class ControllerNodes:
    def __init__(self, seed: int = 1, controllers: int = 3, each: int = 3, cancel: float = 30.0) -> None:
        """`each` machines can be had of every type, zone and kind; `cancel` is the settings' `cancel_s`."""
        self.cancel = cancel
        # The next limits in the settings, and nodes that run a version which knows of none: this
        # one with other settings, or really an earlier one (`tests/both.py`).
        self.limits: dict[str, float] | None = None
        self.old: set[str] = set()
        self.earlier: str | None = None
        # The rollout's settings of this version, and levels of nodes that stand for another one.
        self.rollout = RolloutSettings()
        self.levels: dict[str, SupportedLevels] = {}
        self.nodes = [f"loom-{number}" for number in range(controllers)]
        self.loop = SimLoop()
        asyncio.set_event_loop(self.loop)
        self.rng = random.Random(seed)
        self.drifts = random.Random(seed + 1)
        random.seed(seed)
        self.rules = Rules(self.loop, {"red": 12.0, "blue": float("inf")}, cancel)
        self.store = StateStore(self.loop, self.rng, 8, 8 * 1024, 30.0)
        capacity = {(t["name"], zone, spot): each for t in TYPES for zone in ZONES for spot in (True, False)}
        self.cloud = CloudStand(self.loop, self.rng, TYPES, 3.0, capacity)
        self.workers: dict[str, Worker] = {}
        self.controllers: dict[str, Controller] = {}
        self.ports: dict[str, list[Port]] = {}
        # Faults of single links, and who watches what starts and what is answered.
        self.link_faults = LinkFaults()
        self.on_start: list[Callable[[str, Controller], None]] = []
        self.on_answer: list[Callable[[str, Request, Response], None]] = []
        # Requests that a node is at work on.
        self.at_work: dict[str, set[Coroutine[Any, Any, Any]]] = {}
        # What runs in a node's context stands still with it.
        self.contexts: dict[str, contextvars.Context] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.cut_nodes: set[str] = set()
        self.cut_workers: set[tuple[str, str]] = set()
        # Nodes that reach neither the state service nor the others, but their workers.
        self.apart: set[str] = set()
        # Workers whose reports arrive, but which no answer reaches.
        self.deaf: set[str] = set()
        # Nodes whose answers reach no worker.
        self.mute: set[str] = set()
        # Share of the reports of which a copy comes later, to any node, and how much later.
        self.copies = 0.0
        self.copy_late = (1.0, 40.0)
        # Copies that come to every node just as the next leader begins.
        self.kept: list[Request] | None = None
        # Share of reports and answers that are held up, for up to 6 s each.
        self.slow = 0.0
        # Open connections of workers, and when the last answer went out on each.
        self.links: dict[str, tuple[str, timedelta]] = {}
        self.drift = {node: self.rng.uniform(-0.0005, 0.0005) for node in self.nodes}

    # Controllers

    def code(self, node: str, part: str) -> Any:
        """A module of the version that the node runs."""
        old = self.earlier is not None and node in self.old
        return importlib.import_module(f"{self.earlier if old else 'elmthread'}.{part}")

    def carried(self, message: Any, node: str) -> Any:
        """A message between controllers, as the version at the other end reads it."""
        if self.earlier is None:
            return message
        sender = importlib.import_module(type(message).__module__)
        return self.code(node, "peers.messages").decode(sender.encode(message))

    def start(self, node: str) -> Controller:
        world = self
        peers: type[Peers] = self.code(node, "peers.link").Peers
        link = self.code(node, "peers.link")
        # The version in production has another name for it.
        not_reached: type[Exception] = getattr(link, "PeerUnreachableError", None) or link.NotReached

        class Links(peers):  # type: ignore[valid-type, misc]
            """Peer links without sockets."""

            def reaches(self, other: str) -> bool:
                passes = world.link_faults.passes
                return world.reach(node, other) and passes(node, other) and passes(other, node)

            async def ask(self, other: str, ask: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
                await asyncio.sleep(0.002 + world.link_faults.delay(node, other))
                if not world.reach(node, other) or not world.link_faults.passes(node, other):
                    raise not_reached(other)
                heard = world.carried(ask, other)
                try:
                    async with asyncio.timeout(timeout.total_seconds()):
                        reply = await world.within(other, world.controllers[other].api.answer(heard))
                except TimeoutError:
                    raise not_reached(other) from None
                await asyncio.sleep(world.link_faults.delay(other, node))
                if not world.reach(node, other) or not world.link_faults.passes(other, node):
                    raise not_reached(other)
                answer: ForwardedResponse = world.carried(reply, node)
                return answer

            def tell(self) -> None:
                lead = self._say()
                for other in world.nodes:
                    if other != node and world.reach(node, other) and world.link_faults.passes(node, other):
                        hear = world.controllers[other].hear
                        heard = world.carried(lead, other)
                        late = 0.003 + world.link_faults.delay(node, other)
                        world.loop.call_later(late, hear, heard, context=world.contexts[other])
                        if world.link_faults.has("duplicate", node, other):
                            world.loop.call_later(late + 1.0, hear, heard, context=world.contexts[other])

        context = self.contexts[node] = contextvars.copy_context()
        context.run(NODE.set, node)
        self.ports[node] = [Port(self.store, Trouble()), Port(self.cloud, Trouble())]
        state, cloud = self.ports[node]
        limits = None if node in self.old and self.earlier is None else self.limits
        operators = self.code(node, "settings.operators")
        present = self.earlier is None or node not in self.old
        of_this_version = {"supported": self.levels.get(node, SUPPORTED)} if present else {}
        controller: Controller = self.code(node, "controller").Controller(
            self.code(node, "settings.platform").parse(settings(node, self.nodes, limits, self.cancel)),
            operators.Operators(operators.Raw(**({"rollout": self.rollout} if present else {}))),
            lambda: self.loop.clock(self.drift[node]),
            state,
            cloud,
            Links,
            **of_this_version,
        )
        self.controllers[node] = controller
        self._apply_to_store(node)
        for watch in self.on_start:
            watch(node, controller)
        self.tasks[node] = self.loop.create_task(self._run(controller), context=context)
        return controller

    # Links

    async def play_faults(self, faults: list[Fault]) -> None:
        """Plays a schedule to its end, from now on."""

        def leader() -> str:
            return next((node for node, one in self.controllers.items() if one is self.leader), self.nodes[0])

        await SchedulePlayer(self.link_faults, self.nodes, leader, lambda *_: self._apply_to_stores()).play(faults)

    def _apply_to_stores(self) -> None:
        for node in self.controllers:
            self._apply_to_store(node)

    def _apply_to_store(self, node: str) -> None:
        trouble, links = self.ports[node][0].trouble, self.link_faults
        if not links.used:
            return
        trouble.cut = links.has("drop", node, STORE)
        trouble.reset = links.has("reset", node, STORE) or links.has("reset", STORE, node)
        trouble.lost = float(links.has("drop", STORE, node))
        trouble.twice = 0.5 * links.has("duplicate", node, STORE)
        trouble.refused = links.has("refuse", node, STORE)
        trouble.slow_to, trouble.slow_from = links.delay(node, STORE), links.delay(STORE, node)

    async def _run(self, controller: Controller) -> None:
        async with asyncio.TaskGroup() as group:
            # An earlier version has its election alone.
            group.create_task(getattr(controller, "coordinate", controller.election.run)())
            while True:
                controller.peers.tell()
                await asyncio.sleep(1)

    def kill(self, node: str) -> None:
        """The process ends without a word."""
        for port in self.ports[node]:
            port.trouble.dead = True
            port.trouble.testament = self.rng.random() < 0.5
        controller = self.controllers.pop(node)
        if self.loop.still.pop(node, None) is not None:
            # It stood still: what it had not begun by then, it never begins.
            for work in self.at_work.pop(node, set()):
                if inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
                    work.close()
        self.tasks.pop(node).cancel()
        if controller._leading is not None:
            controller._leading.cancel()

    async def within(self, node: str, work: Coroutine[Any, Any, T]) -> T:
        """Runs a part of a node's work where it stands still with the node."""
        task = self.loop.create_task(work, context=self.contexts[node])
        at_work = self.at_work.setdefault(node, set())
        at_work.add(work)
        task.add_done_callback(lambda _: at_work.discard(work))
        try:
            # Not awaited itself: a node that is killed while it stands still never ends its work,
            # and who waits for it must not wait for ever.
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        return task.result()

    async def serve(self, node: str, request: Request) -> Response:
        """A request at a node's door, as its server handles it."""
        handle = self.controllers[node].api.handle

        async def served() -> Response:
            response = await handle(request)
            response = UNSURE if response.sure is not None and not response.sure() else response
            for watch in self.on_answer:
                watch(node, request, response)
            return response

        return await self.within(node, served())

    async def stand_still(self, node: str, seconds: float) -> None:
        """The process gets no processor for a while; its clocks run on."""
        self.loop.stand_still(node)
        await asyncio.sleep(seconds)
        self.loop.go_on(node)

    def reach(self, one: str, other: str) -> bool:
        out = self.cut_nodes | self.apart
        return one in self.controllers and other in self.controllers and not {one, other} & out

    @property
    def leader(self) -> Controller | None:
        """The newest leader: an earlier one may not have noticed yet that it is none."""
        leaders = [one for one in self.controllers.values() if one.leader is not None]
        return max(leaders, key=lambda one: one.election.fencing_token) if leaders else None
