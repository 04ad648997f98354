"""Serves the simulated services of `tests/world` on loopback, for controllers that run as real processes.

The state service and the cloud serve HTTP, workers send heartbeats over HTTP, and the reference model
(`tests/world/rules.py`) checks which tasks run on which machines. All servers listen on 127.0.0.1 only.
"""

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode
from weakref import WeakSet

import cbor2

from elmthread.net.http_client import HttpClient, NoResponseError
from elmthread.net.http_messages import Request, Response, decode_body
from elmthread.net.http_server import HttpServer
from tests.world.rules import Rules
from tests.world.service_ports import Service
from tests.world.settings import SETTINGS, TYPES
from tests.world.simulated_cloud import SimulatedCloud, SimulatedMachine
from tests.world.simulated_store import SimulatedStore
from tests.world.workers import Worker, WorkerEnvironment

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S, LEASE_S, CANCEL_S = 3.0, 12.0, 30.0
CALL_TIMEOUT = timedelta(seconds=4)
PORT_RANGE = range(20_000, 30_000)
# Concurrent connections that each simulated service accepts.
MAX_SERVER_CONNECTIONS = 100


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens now, for processes that are started and restarted.

    The ports are below the system's ephemeral range: an outgoing connection once took the port of a controller
    that was stopped for a second, and the restarted controller could not listen.
    """
    ports: list[int] = []
    with ExitStack() as stack:
        for port in random.SystemRandom().sample(PORT_RANGE, len(PORT_RANGE)):
            listener = stack.enter_context(socket.socket())
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
            if len(ports) == count:
                return ports
    raise OSError(f"fewer than {count} free ports in {PORT_RANGE}")


class RealLoop(asyncio.SelectorEventLoop):
    """A real-time event loop with the `now` property that the simulated services expect of a simulated loop.

    It can close the connections that were opened from it, which clients keep open between requests.
    """

    def __init__(self) -> None:
        """Create a loop without connections."""
        super().__init__()
        self._client_transports: WeakSet[asyncio.BaseTransport] = WeakSet()

    async def create_connection(self, *arguments: Any, **options: Any) -> Any:
        """Open a connection as any event loop does."""
        transport, protocol = await super().create_connection(*arguments, **options)
        self._client_transports.add(transport)
        return transport, protocol

    def close_client_connections(self) -> None:
        """Close the connections that were opened from this loop; it must not be running."""
        for transport in list(self._client_transports):
            transport.close()
        # A transport closes its socket in the next iteration of the loop.
        self.run_until_complete(asyncio.sleep(0))

    @property
    def now(self) -> float:
        """The loop's monotonic time in seconds."""
        return self.time()


@contextmanager
def real_loop() -> Iterator[RealLoop]:
    """Create an event loop for one run; at the end, cancel its tasks, and close its connections and the loop."""
    loop = RealLoop()
    asyncio.set_event_loop(loop)
    try:
        yield loop
    finally:
        remaining_tasks = asyncio.all_tasks(loop)
        for task in remaining_tasks:
            task.cancel()
        if remaining_tasks:
            loop.run_until_complete(asyncio.wait(remaining_tasks))
        loop.close_client_connections()
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
        asyncio.set_event_loop(None)


class SimulatedServices:
    """Simulated state service, cloud and workers for the controllers in `controllers` (node to address)."""

    def __init__(self, loop: RealLoop, controllers: dict[str, str], machines: int) -> None:
        """Provide capacity for `machines` spot and as many on-demand machines of each type and zone."""
        self._loop: Any = loop
        self._rng = random.Random(1)
        self.controllers = controllers
        self.counts: Counter[str] = Counter()
        self.rules = Rules(self._loop, {"red": 12.0, "blue": float("inf")}, CANCEL_S)
        self.store = SimulatedStore(self._loop, self._rng, 8, 8 * 1024)
        capacity = {
            (machine_type["name"], zone, spot): machines
            for machine_type in TYPES
            for zone in machine_type["yards"]
            for spot in (True, False)
        }
        self.cloud = SimulatedCloud(self._loop, self._rng, TYPES, 3.0, capacity)
        self.cloud.on_running = self._on_machine_running
        self.cloud.on_deleted = self._on_machine_deleted
        nodes = list(controllers)
        self._worker_environment = WorkerEnvironment(
            self._loop, self._rng, self.rules, nodes, self._send_heartbeat, HEARTBEAT_INTERVAL_S
        )
        self._workers: dict[str, Worker] = {}
        self._clients: dict[tuple[str, str], HttpClient] = {}
        self.store_address = self.cloud_address = ""

    async def start(self) -> None:
        """Start the servers of the state service and the cloud."""
        self.store_address = f"{HOST}:{await self._serve(self.store)}"
        self.cloud_address = f"{HOST}:{await self._serve(self.cloud)}"

    def settings(self, node: str, peers: dict[str, str], max_connections: int) -> str:
        """Return a controller's settings file; `peers` maps each node to its address for peer connections."""
        others = "".join(
            f'[[others]]\nnode_name = "{other}"\nsite = "east"\naddress = "{address}"\n'
            for other, address in peers.items()
            if other != node
        )
        text = SETTINGS.format(node=node, others=others, next="", cancel=CANCEL_S)
        text = text.replace("10.2.0.2:8443", self.cloud_address).replace("10.2.0.1:2379", self.store_address)
        text = text.replace('"10.0.0.1:8080"', f'"{self.controllers[node]}"')
        text = text.replace('"10.0.0.1:8081"', f'"{peers[node]}"')
        return text.replace("max_connections = 500", f"max_connections = {max_connections}")

    def add_machines(self, count: int, boot_s: float = 0.5) -> None:
        """Add spot machines of random types and zones."""
        for _ in range(count):
            machine_type = self._rng.choice(TYPES)
            self.cloud.add(machine_type["name"], self._rng.choice(machine_type["yards"]), True, boot_s)

    async def _serve(self, service: Service) -> int:
        async def handle(request: Request) -> Response:
            path = f"{request.path}?{urlencode(request.query)}" if request.query else request.path
            self.counts[f"{request.method} {request.path.split('/')[1]}"] += 1
            if service.down:
                return Response(503, {"error": "trouble"})
            response = await service.serve(request.method, path, decode_body(request.body) if request.body else None)
            return Response(response.status, response.body)

        return await HttpServer(handle, MAX_SERVER_CONNECTIONS).start(HOST, 0)

    def _on_machine_running(self, machine: SimulatedMachine) -> None:
        machine_type = next(machine_type for machine_type in TYPES if machine_type["name"] == machine.machine_type)
        self._workers[machine.name] = Worker(self._worker_environment, machine, machine_type, LEASE_S)

    def _on_machine_deleted(self, name: str) -> None:
        worker = self._workers.pop(name, None)
        self._clients = {key: client for key, client in self._clients.items() if key[0] != name}
        if worker is not None:
            worker.terminate()

    async def _send_heartbeat(self, name: str, node: str, request: Request) -> Response:
        return await self._send_heartbeat_to(name, node, self.controllers[node], request)

    async def _send_heartbeat_to(self, name: str, node: str, address: str, request: Request) -> Response:
        """Send a worker's heartbeat to the controller of `node` through `address`."""
        client = self._clients.setdefault((name, node), HttpClient(address))
        self.counts["reports"] += 1
        try:
            response = await client.call(request.method, request.path, cbor2.loads(request.body), timeout=CALL_TIMEOUT)
        except NoResponseError as error:
            self.counts["reports without an answer"] += 1
            raise ConnectionError(str(error)) from error
        return Response(response.status, response.body)
