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
from elmthread.net.http_messages import PRECONDITION_FAILED, Request, Response
from elmthread.settings.rollout import RolloutSettings
from tests.world.links import STORE, Fault, SchedulePlayer
from tests.world.loop import NODE, SimLoop
from tests.world.network_faults import NetworkFaults
from tests.world.peer_links import simulated_peers
from tests.world.rules import Rules
from tests.world.service_ports import NodePorts, ServiceFaults, SimulatedClient
from tests.world.settings import TYPES, ZONES, settings
from tests.world.simulated_cloud import SimulatedCloud
from tests.world.simulated_store import SimulatedStore
from tests.world.versions import EarlierVersion, NodeLevels, Version
from tests.world.workers import Worker

T = TypeVar("T")


class ControllerNodes(NetworkFaults):
    """The nodes and the services that they use."""

    def __init__(self, seed: int = 1, controllers: int = 3, each: int = 3, cancel: float = 30.0) -> None:
        """`each` machines can be had of every type, zone and kind; `cancel` is the settings' `cancel_s`."""
        super().__init__()
        self.cancel = cancel
        # The next limits in the settings, and nodes that run a version which knows of none: this
        # one with other settings, or really an earlier one (`tests/both.py`).
        self.limits: dict[str, float] | None = None
        self.earlier_nodes: set[str] = set()
        self.earlier: EarlierVersion | None = None
        self._version = Version()
        # The rollout's settings of this version, and levels of nodes that stand for another one.
        self.rollout = RolloutSettings()
        self.levels: dict[str, SupportedLevels] = {}
        self.nodes = [f"loom-{number}" for number in range(controllers)]
        self.loop = SimLoop()
        asyncio.set_event_loop(self.loop)
        self.rng = random.Random(seed)
        self.drift_rng = random.Random(seed + 1)
        random.seed(seed)
        self.rules = Rules(self.loop, {"red": 12.0, "blue": float("inf")}, cancel)
        self.store = SimulatedStore(self.loop, self.rng, 8, 8 * 1024, 30.0)
        capacity = {(t["name"], zone, spot): each for t in TYPES for zone in ZONES for spot in (True, False)}
        self.cloud = SimulatedCloud(self.loop, self.rng, TYPES, 3.0, capacity)
        self.workers: dict[str, Worker] = {}
        self.controllers: dict[str, Controller] = {}
        self.ports: dict[str, NodePorts] = {}
        # Called with each controller that starts, and each response that leaves.
        self.on_start: list[Callable[[str, Controller], None]] = []
        self.on_answer: list[Callable[[str, Request, Response], None]] = []
        # Requests that a node is at work on.
        self.requests_in_progress: dict[str, set[Coroutine[Any, Any, Any]]] = {}
        # What runs in a node's context stands still with it.
        self.contexts: dict[str, contextvars.Context] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        # Open connections of workers, and when the last answer went out on each.
        self.worker_connections: dict[str, tuple[str, timedelta]] = {}
        self.drift = {node: self.rng.uniform(-0.0005, 0.0005) for node in self.nodes}

    # Controllers

    def version(self, node: str) -> Version:
        """Return the version that the node runs."""
        return self.earlier if self.earlier is not None and node in self.earlier_nodes else self._version

    def carried(self, message: Any, node: str) -> Any:
        """Return a message between controllers as the version at the other end reads it."""
        if self.earlier is None:
            return message
        sender = importlib.import_module(type(message).__module__)
        return self.version(node).module("peers.messages").decode(sender.encode(message))

    def start(self, node: str) -> Controller:
        """Start a process of the node's version."""
        context = self.contexts[node] = contextvars.copy_context()
        context.run(NODE.set, node)
        self.ports[node] = NodePorts(
            SimulatedClient(self.store, ServiceFaults()), SimulatedClient(self.cloud, ServiceFaults())
        )
        limits = None if node in self.earlier_nodes and self.earlier is None else self.limits
        controller = self.version(node).controller(
            settings(node, self.nodes, limits, self.cancel),
            lambda: self.loop.clock(self.drift[node]),
            self.ports[node],
            simulated_peers(self, node),
            NodeLevels(self.rollout, self.levels.get(node, SUPPORTED)),
        )
        self.controllers[node] = controller
        self._apply_to_store(node)
        for watch in self.on_start:
            watch(node, controller)
        self.tasks[node] = self.loop.create_task(self._run(controller), context=context)
        return controller

    # Links

    async def play_faults(self, faults: list[Fault]) -> None:
        """Play a schedule to its end, from now on."""

        def leader() -> str:
            return next((node for node, one in self.controllers.items() if one is self.leader), self.nodes[0])

        await SchedulePlayer(self.link_faults, self.nodes, leader, lambda *_: self._apply_to_stores()).play(faults)

    def _apply_to_stores(self) -> None:
        for node in self.controllers:
            self._apply_to_store(node)

    def _apply_to_store(self, node: str) -> None:
        trouble, links = self.ports[node].store.faults, self.link_faults
        if not links.used:
            return
        trouble.cut = links.has("drop", node, STORE)
        trouble.reset = links.has("reset", node, STORE) or links.has("reset", STORE, node)
        trouble.lost_response_share = float(links.has("drop", STORE, node))
        trouble.duplicate_share = 0.5 * links.has("duplicate", node, STORE)
        trouble.refused = links.has("refuse", node, STORE)
        trouble.request_delay_s, trouble.response_delay_s = links.delay(node, STORE), links.delay(STORE, node)

    async def _run(self, controller: Controller) -> None:
        async with asyncio.TaskGroup() as group:
            # An earlier version has its election alone.
            group.create_task(getattr(controller, "coordinate", controller.election.run)())
            while True:
                controller.peers.announce()
                await asyncio.sleep(1)

    def kill(self, node: str) -> None:
        """Kill the node's process."""
        for port in self.ports[node]:
            port.faults.process_ended = True
            port.faults.delivered_after_end = self.rng.random() < 0.5
        controller = self.controllers.pop(node)
        if self.loop.suspended.pop(node, None) is not None:
            # It stood still: what it had not begun by then, it never begins.
            for work in self.requests_in_progress.pop(node, set()):
                if inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
                    work.close()
        self.tasks.pop(node).cancel()
        if controller.leader_task is not None:
            controller.leader_task.cancel()

    async def within(self, node: str, work: Coroutine[Any, Any, T]) -> T:
        """Run a part of a node's work in the node's context, where it is suspended with the node."""
        task = self.loop.create_task(work, context=self.contexts[node])
        at_work = self.requests_in_progress.setdefault(node, set())
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
        """Handle a request as the node's server does."""
        handle = self.controllers[node].api.handle

        async def served() -> Response:
            response = await handle(self.version(node).request(request))
            response = (
                PRECONDITION_FAILED if response.precondition is not None and not response.precondition() else response
            )
            for watch in self.on_answer:
                watch(node, request, response)
            return response

        return await self.within(node, served())

    async def suspend(self, node: str, seconds: float) -> None:
        """Suspend the process for a while; its clocks run on."""
        self.loop.suspend(node)
        await asyncio.sleep(seconds)
        self.loop.resume(node)

    def passes(self, node: str, other: str) -> bool:
        """Whether what one controller sends reaches the other."""
        return self.can_reach(node, other) and self.link_faults.passes(node, other)

    def can_reach(self, one: str, other: str) -> bool:
        out = self.cut_nodes | self.isolated_nodes
        return one in self.controllers and other in self.controllers and not {one, other} & out

    @property
    def leader(self) -> Controller | None:
        """The newest leader: an earlier one may not have noticed yet that it is none."""
        leaders = [one for one in self.controllers.values() if one.leader is not None]
        return max(leaders, key=lambda one: one.election.fencing_token) if leaders else None
