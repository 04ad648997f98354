"""Simulated controllers: starting, killing, suspending and isolating them, and the messages they exchange."""

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
        """Create nodes and services.

        `each` is the cloud's capacity by machine type, zone and kind (on-demand or spot); `cancel` is the setting
        `cancel_s`.
        """
        super().__init__()
        self.cancel = cancel
        # The setting `facts.state.next`; None leaves it out.
        # Nodes that run an earlier version: the actual one in `earlier` (`tests/both.py`), or if that is None, this
        # version without the setting `facts.state.next`.
        self.limits: dict[str, float] | None = None
        self.earlier_nodes: set[str] = set()
        self.earlier: EarlierVersion | None = None
        self._version = Version()
        # The rollout settings of this version, and the levels of nodes that simulate another version.
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
        # Called with each controller that starts, and with each response that is sent.
        self.on_start: list[Callable[[str, Controller], None]] = []
        self.on_response: list[Callable[[str, Request, Response], None]] = []
        # Requests that a node is handling.
        self.requests_in_progress: dict[str, set[Coroutine[Any, Any, Any]]] = {}
        # What runs in a node's context is suspended with the node.
        self.contexts: dict[str, contextvars.Context] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        # Open connections of workers, and when the last response was sent on each.
        self.worker_connections: dict[str, tuple[str, timedelta]] = {}
        self.drift = {node: self.rng.uniform(-0.0005, 0.0005) for node in self.nodes}

    # Controllers

    def version(self, node: str) -> Version:
        """Return the version that the node runs."""
        return self.earlier if self.earlier is not None and node in self.earlier_nodes else self._version

    def as_decoded_by(self, message: Any, node: str) -> Any:
        """Return a message between controllers as the receiving node's version decodes it."""
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
        self._update_store_faults(node)
        for callback in self.on_start:
            callback(node, controller)
        self.tasks[node] = self.loop.create_task(self._run(controller), context=context)
        return controller

    # Links

    async def play_faults(self, faults: list[Fault]) -> None:
        """Play a fault schedule to its end, starting now."""

        def leader() -> str:
            return next((node for node, one in self.controllers.items() if one is self.leader), self.nodes[0])

        await SchedulePlayer(self.link_faults, self.nodes, leader, lambda *_: self._update_all_store_faults()).play(
            faults
        )

    def _update_all_store_faults(self) -> None:
        for node in self.controllers:
            self._update_store_faults(node)

    def _update_store_faults(self, node: str) -> None:
        store_faults, links = self.ports[node].store.faults, self.link_faults
        if not links.used:
            return
        store_faults.cut = links.has("drop", node, STORE)
        store_faults.reset = links.has("reset", node, STORE) or links.has("reset", STORE, node)
        store_faults.lost_response_share = float(links.has("drop", STORE, node))
        store_faults.duplicate_share = 0.5 * links.has("duplicate", node, STORE)
        store_faults.refused = links.has("refuse", node, STORE)
        store_faults.request_delay_s, store_faults.response_delay_s = links.delay(node, STORE), links.delay(STORE, node)

    async def _run(self, controller: Controller) -> None:
        async with asyncio.TaskGroup() as group:
            # An earlier version has no `coordinate`, only its election.
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
            # The process was suspended: requests that it had not begun to handle never begin.
            for work in self.requests_in_progress.pop(node, set()):
                if inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
                    work.close()
        self.tasks.pop(node).cancel()
        if controller.leader_task is not None:
            controller.leader_task.cancel()

    async def run_on_node(self, node: str, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the node's context, so that it is suspended with the node."""
        task = self.loop.create_task(work, context=self.contexts[node])
        in_progress = self.requests_in_progress.setdefault(node, set())
        in_progress.add(work)
        task.add_done_callback(lambda _: in_progress.discard(work))
        try:
            # The task is not awaited itself: the work of a node that is killed while suspended never ends,
            # and its caller must not wait forever.
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        return task.result()

    async def serve(self, node: str, request: Request) -> Response:
        """Handle a request as the node's server does."""
        handle = self.controllers[node].api.handle

        async def handle_request() -> Response:
            response = await handle(self.version(node).request(request))
            response = (
                PRECONDITION_FAILED if response.precondition is not None and not response.precondition() else response
            )
            for callback in self.on_response:
                callback(node, request, response)
            return response

        return await self.run_on_node(node, handle_request())

    async def suspend(self, node: str, seconds: float) -> None:
        """Suspend the process for some seconds; its clocks run on."""
        self.loop.suspend(node)
        await asyncio.sleep(seconds)
        self.loop.resume(node)

    def passes(self, node: str, other: str) -> bool:
        """Return whether a message from one controller reaches the other."""
        return self.can_reach(node, other) and self.link_faults.passes(node, other)

    def can_reach(self, one: str, other: str) -> bool:
        isolated = self.cut_nodes | self.isolated_nodes
        return one in self.controllers and other in self.controllers and not {one, other} & isolated

    @property
    def leader(self) -> Controller | None:
        """Return the leader of the newest term: an earlier one may not have noticed yet that its term is over."""
        leaders = [one for one in self.controllers.values() if one.leader is not None]
        return max(leaders, key=lambda one: one.election.fencing_token) if leaders else None
