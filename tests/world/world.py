"""Controllers, state service, cloud, workers and users together in one simulated world."""

import asyncio
import contextvars
import importlib
import inspect
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from datetime import timedelta
from typing import Any, TypeVar

import cbor2

from elmthread.common.features import SUPPORTED, SupportedLevels
from elmthread.controller import Controller, ControllerEnvironment
from elmthread.net.http import UNSURE, Request, Response
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse
from elmthread.peers.network import PeerNetwork
from elmthread.settings.rollout import RolloutSettings
from tests.world.links import STORE, WORKERS, Fault, LinkFaults, SchedulePlayer
from tests.world.loop import NODE, SimLoop
from tests.world.rules import Rules
from tests.world.services import CloudStand, Port, Rented, StateStore, Trouble
from tests.world.workers import Worker

T = TypeVar("T")

NODES = ["loom-0", "loom-1", "loom-2"]
ZONES = ["east", "north", "west"]
TYPES: list[dict[str, Any]] = [
    {
        "name": "small",
        "cpus": 4.0,
        "cards": 0.0,
        "ram_gb": 16.0,
        "cache_gb": 40.0,
        "fetch_gb_per_s": 0.5,
        "rate": 0.2,
        "spot_price": 0.08,
        "ready_s": 10.0,
        "yards": ZONES,
    },
    {
        "name": "large",
        "cpus": 16.0,
        "cards": 0.0,
        "ram_gb": 64.0,
        "cache_gb": 80.0,
        "fetch_gb_per_s": 1.0,
        "rate": 0.9,
        "spot_price": 0.3,
        "ready_s": 12.0,
        "yards": ZONES[:2],
    },
]
SETTINGS = """
node_name = "{node}"
site = "east"
serve_on = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
{others}
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["east", "north", "west"]
time_bound_ms = 25.0
[[facts.teams]]
name = "red"
cpus = 8.0
cpus_max = 12.0
[[facts.teams]]
name = "blue"
cpus = 0.0
cpus_max = 0.0
[[facts.objectives]]
kind = "finished"
class = "nightly"
within_s = 120.0
share = 0.9
[facts.workers]
report_s = 3.0
lease_s = 12.0
cancel_s = {cancel}
[facts.state]
rps = 120.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 8
{next}
[facts.cloud]
rps = 4.0
list_lag_s = 3.0
[facts.limits]
cores = 0.5
ram_mb = 200.0
max_connections = 500
"""


# Limits that the state service has from some moment on, where a day has such a moment.
NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}


def settings(node: str, nodes: list[str], limits: dict[str, float] | None = None, cancel: float = 30.0) -> str:
    others = "".join(
        f'[[others]]\nnode_name = "{other}"\nsite = "east"\naddress = "10.0.0.1:8081"\n'
        for other in nodes
        if other != node
    )
    next_limits = "" if limits is None else "[facts.state.next]\n"
    next_limits += "".join(f"{name} = {value}\n" for name, value in (limits or {}).items())
    return SETTINGS.format(node=node, others=others, next=next_limits, cancel=cancel)


def job(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "name_id": f"run-{number:06d}",
        "docket": "nightly",
        "crew": "blue",
        "form": "batch",
        "urgency": "normal",
        "pieces": 4,
        "cpus": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
        "kit": "img-1",
        "size_gb": 1.0,
        "builds": None,
        "yard": None,
        "one_zone": False,
        "scatter": False,
        "loaners": True,
        "expected_s": 8.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        "true_s": 8.0,
    } | changes


def daemon(number: int, **changes: Any) -> dict[str, Any]:
    """A service: `true_s` is how long a replica serves before it ends by itself, with `ends`."""
    return (
        job(
            number,
            docket="gateway",
            form="daemon",
            urgency="production",
            pieces=3,
            loaners=False,
            scatter=True,
            expected_s=0.0,
            true_s=float("inf"),
            ends="done",
        )
        | changes
    )


def sent(spec: dict[str, Any]) -> dict[str, Any]:
    """What a user sends of it: the rest is for the stand-in workers only."""
    return {name: value for name, value in spec.items() if name not in ("true_s", "each_s", "ends")}


class World:
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
        self.cloud.born = self._born
        self.cloud.ended = self._ended
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
        network: type[PeerNetwork] = self.code(node, "peers.network").PeerNetwork
        not_reached: type[Exception] = self.code(node, "peers.connection").PeerUnreachableError

        class Links(network):  # type: ignore[valid-type, misc]
            """Peer links without sockets."""

            def is_connected(self, other: str) -> bool:
                passes = world.link_faults.passes
                return world.reach(node, other) and passes(node, other) and passes(other, node)

            async def request(self, other: str, request: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
                await asyncio.sleep(0.002 + world.link_faults.delay(node, other))
                if not world.reach(node, other) or not world.link_faults.passes(node, other):
                    raise not_reached(other)
                heard = world.carried(request, other)
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

            def announce(self) -> None:
                lead = self._handler.make_announcement()
                for other in world.nodes:
                    if other != node and world.reach(node, other) and world.link_faults.passes(node, other):
                        receive = world.controllers[other].handle_announcement
                        heard = world.carried(lead, other)
                        late = 0.003 + world.link_faults.delay(node, other)
                        world.loop.call_later(late, receive, heard, context=world.contexts[other])
                        if world.link_faults.has("duplicate", node, other):
                            world.loop.call_later(late + 1.0, receive, heard, context=world.contexts[other])

        context = self.contexts[node] = contextvars.copy_context()
        context.run(NODE.set, node)
        self.ports[node] = [Port(self.store, Trouble()), Port(self.cloud, Trouble())]
        state, cloud = self.ports[node]
        limits = None if node in self.old and self.earlier is None else self.limits
        operators = self.code(node, "settings.operators")
        present = self.earlier is None or node not in self.old
        controller: Controller = self.code(node, "controller").Controller(
            self.code(node, "settings.platform").parse(settings(node, self.nodes, limits, self.cancel)),
            operators.Operators(operators.Raw(**({"rollout": self.rollout} if present else {}))),
            ControllerEnvironment(
                lambda: self.loop.clock(self.drift[node]), state, cloud, Links, self.levels.get(node, SUPPORTED)
            ),
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
                controller.peers.announce()
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
        if controller.leader_runner.task is not None:
            controller.leader_runner.task.cancel()

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

    # Workers

    def _born(self, machine: Rented) -> None:
        build = next(kind for kind in TYPES if kind["name"] == machine.machine_type)
        self.workers[machine.name] = Worker(
            self.loop,
            self.rng,
            self.rules,
            self._send,
            self.nodes,
            machine.name,
            build,
            machine.zone,
            machine.spot,
            3.0,
            # A worker's clock drifts from everybody else's.
            12.0 * (1 + self.drifts.uniform(-0.0005, 0.0005)),
        )

    def _ended(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.gone()

    async def _send(self, worker: str, node: str, request: Request) -> Response:
        # What is not answered on a connection ends it.
        linked, answered_at = self.links.pop(worker, (node, None))
        request.answered_at = answered_at if linked == node else None
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        zone = f"{WORKERS}/{self.workers[worker].zone}" if worker in self.workers else WORKERS
        if self.link_faults.has("reset", zone, node) or self.link_faults.has("reset", node, zone):
            raise ConnectionError(node)
        await asyncio.sleep(self.link_faults.delay(zone, node))
        if self._hangs(worker, node) or self.link_faults.has("drop", zone, node):
            await asyncio.sleep(60)
        if self.link_faults.has("duplicate", zone, node):
            self.loop.call_later(3.0, self._copy, node, replace(request, answered_at=None))
        if node not in self.controllers:
            raise ConnectionError(node)
        if self.rng.random() < self.copies:
            for _ in range(self.rng.randint(1, 2)):
                late, other = self.rng.uniform(*self.copy_late), self.rng.choice(self.nodes)
                self.loop.call_later(late, self._copy, other, replace(request, answered_at=None))
        if self.kept is not None:
            self.kept.append(replace(request, answered_at=None))
        if self.slow and self.rng.random() < self.slow:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        if node not in self.controllers:
            raise ConnectionError(node)
        response = await self.serve(node, request)
        answered_at = self.loop.clock(self.drift[node])
        await asyncio.sleep(self.link_faults.delay(node, zone))
        if self.slow and self.rng.random() < self.slow:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        # The answer may be lost on its way, and the request may have been sent before.
        if self.link_faults.has("drop", node, zone):
            await asyncio.sleep(60)
        if self._hangs(worker, node) or worker in self.deaf or node in self.mute or self.rng.random() < 0.01:
            await asyncio.sleep(60)
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        self.links[worker] = (node, answered_at)
        return response

    async def report(self, body: Any, node: str) -> Response:
        return await self.serve(node, Request("POST", "/agent/beat", {}, cbor2.dumps(body)))

    def _copy(self, node: str, request: Request) -> None:
        if node in self.controllers and node not in self.cut_nodes:
            self.loop.create_task(self.serve(node, request))

    def _hangs(self, worker: str, node: str) -> bool:
        return node in self.cut_nodes or (worker, node) in self.cut_workers

    # Users

    async def ask(self, method: str, path: str, body: Any = None, node: str | None = None) -> Response:
        up = [name for name in self.controllers if name not in self.cut_nodes]
        if not up:
            # No connection, so no answer at all.
            return Response(504)
        name = node or self.rng.choice(up)
        try:
            async with asyncio.timeout(5):
                return await self.serve(name, Request(method, path, {}, cbor2.dumps(body)))
        except (TimeoutError, KeyError):
            return Response(504)

    async def about(
        self, job_id: str, method: str, path: str, body: Any = None, node: str | None = None
    ) -> tuple[Response, str | None]:
        """A user's question about a job, judged with the moment at which it was asked."""
        asked = self.loop.now
        response = await self.ask(method, path, body, node)
        state = (response.body or {}).get("status")
        self.rules.heard(job_id, response.status, state, asked)
        return response, state

    async def offer(self, spec: dict[str, Any]) -> Response:
        """A submission, or its repetition."""
        response, _ = await self.about(spec["name_id"], "POST", "/submissions", sent(spec))
        return response

    async def submit(self, spec: dict[str, Any], patience: float = 60.0) -> bool:
        self.rules.submitted(spec)
        end = self.loop.now + patience
        while self.loop.now < end:
            response = await self.offer(spec)
            if response.status in (200, 201):
                return True
            if response.status in (400, 422):
                return False
            await asyncio.sleep(1)
        return False

    async def poll(self, job_id: str, node: str | None = None) -> str | None:
        _, state = await self.about(job_id, "GET", f"/submissions/{job_id}", node=node)
        return state

    async def withdraw(self, job_id: str, patience: float = 60.0) -> str | None:
        self.rules.asked_to_cancel.add(job_id)
        end = self.loop.now + patience
        while self.loop.now < end:
            response, state = await self.about(job_id, "POST", f"/submissions/{job_id}/withdraw")
            if response.status == 200:
                return str(state)
            await asyncio.sleep(1)
        return None

    async def until_over(self, job_ids: list[str], patience: float) -> dict[str, str | None]:
        end = self.loop.now + patience
        states: dict[str, str | None] = {}
        while self.loop.now < end:
            for job_id in job_ids:
                if states.get(job_id) not in ("done", "cancelled"):
                    states[job_id] = await self.poll(job_id)
            if all(state in ("done", "cancelled") for state in states.values()):
                break
            self.rules.check_cancelled()
            await asyncio.sleep(1)
        return states

    def rent(self, build: str, zone: str, spot: bool = False, boot: float = 0.5) -> None:
        self.cloud.add(build, zone, spot, boot)


def start(world: World, node: str) -> None:
    """Starts a node that is not up."""
    if node not in world.controllers:
        world.start(node)
