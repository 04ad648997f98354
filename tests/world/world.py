"""Controllers, state service, cloud, workers and users together in one simulated world."""

import asyncio
from dataclasses import replace
from typing import Any

import cbor2

from elmthread.net.http_messages import Request, Response
from tests.world.links import WORKERS
from tests.world.nodes import ControllerNodes
from tests.world.settings import TYPES
from tests.world.simulated_cloud import SimulatedMachine
from tests.world.specs import submission_body
from tests.world.workers import AnsweredHeartbeat, Worker, WorkerEnvironment

# Times of workers, as in the settings.
HEARTBEAT_INTERVAL_S, LEASE_S = 3.0, 12.0


class World(ControllerNodes):
    """The nodes together with the workers that report to them and the users that send them requests."""

    def __init__(self, seed: int = 1, controllers: int = 3, each: int = 3, cancel: float = 30.0) -> None:
        super().__init__(seed, controllers, each, cancel)
        self._worker_environment = WorkerEnvironment(
            self.loop, self.rng, self.rules, self.nodes, self._send, HEARTBEAT_INTERVAL_S, self._repeat_response
        )
        self.cloud.on_running = self._start_worker
        self.cloud.on_deleted = self.on_machine_deleted

    # Workers

    def _start_worker(self, machine: SimulatedMachine) -> None:
        machine_type = next(one for one in TYPES if one["name"] == machine.machine_type)
        # A worker's clock drifts from everybody else's.
        lease_s = LEASE_S * (1 + self.drift_rng.uniform(-0.0005, 0.0005))
        self.workers[machine.name] = Worker(self._worker_environment, machine, machine_type, lease_s)

    def on_machine_deleted(self, name: str) -> None:
        """Terminate the worker of a machine that the cloud has deleted."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.terminate()

    async def _send(self, worker: str, node: str, request: Request) -> Response:
        # A worker whose request is not answered closes the connection.
        connected_to, answered_at = self.worker_connections.pop(worker, (node, None))
        request.previous_response_at = answered_at if connected_to == node else None
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        zone = f"{WORKERS}/{self.workers[worker].zone}" if worker in self.workers else WORKERS
        await self._pass_link(worker, zone, node, request)
        self._copy_request(request)
        await self._maybe_delay()
        if node not in self.controllers:
            raise ConnectionError(node)
        response = await self.serve(node, request)
        answered_at = self.loop.clock(self.drift[node])
        await asyncio.sleep(self.link_faults.delay(node, zone))
        await self._maybe_delay()
        # The response may be lost.
        if self.link_faults.has("drop", node, zone):
            await asyncio.sleep(60)
        if (
            self._is_cut(worker, node)
            or worker in self.workers_without_responses
            or node in self.nodes_without_responses
            or self.rng.random() < 0.01
        ):
            await asyncio.sleep(60)
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        self.worker_connections[worker] = (node, answered_at)
        return response

    async def _pass_link(self, worker: str, zone: str, node: str, request: Request) -> None:
        """Return once the request has arrived at the node. Raises ConnectionError."""
        if self.link_faults.has("reset", zone, node) or self.link_faults.has("reset", node, zone):
            raise ConnectionError(node)
        await asyncio.sleep(self.link_faults.delay(zone, node))
        if self._is_cut(worker, node) or self.link_faults.has("drop", zone, node):
            await asyncio.sleep(60)
        if self.link_faults.has("duplicate", zone, node):
            self.loop.call_later(3.0, self._deliver_copy, node, replace(request, previous_response_at=None))
        if node not in self.controllers:
            raise ConnectionError(node)

    def _copy_request(self, request: Request) -> None:
        """Deliver copies of a share of the requests later, to any node, and keep copies if a test collects them."""
        if self.rng.random() < self.duplicate_share:
            for _ in range(self.rng.randint(1, 2)):
                late, other = self.rng.uniform(*self.duplicate_delay_s), self.rng.choice(self.nodes)
                self.loop.call_later(late, self._deliver_copy, other, replace(request, previous_response_at=None))
        if self.captured_requests is not None:
            self.captured_requests.append(replace(request, previous_response_at=None))

    def _repeat_response(self, worker: Worker, answered: AnsweredHeartbeat) -> None:
        if self.repeated_response_share and self.rng.random() < self.repeated_response_share:
            delay_s = self.rng.uniform(0.0, self.max_repeat_delay_s)
            self.loop.call_later(delay_s, worker.receive_copy, answered)

    async def _maybe_delay(self) -> None:
        if self.delayed_share and self.rng.random() < self.delayed_share:
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))

    async def send_heartbeat(self, body: Any, node: str) -> Response:
        return await self.serve(node, Request("POST", "/agent/beat", {}, cbor2.dumps(body)))

    def _deliver_copy(self, node: str, request: Request) -> None:
        if node in self.controllers and node not in self.cut_nodes:
            self.loop.create_task(self.serve(node, request))

    def _is_cut(self, worker: str, node: str) -> bool:
        return node in self.cut_nodes or (worker, node) in self.cut_worker_links

    # Users

    async def ask(self, method: str, path: str, body: Any = None, node: str | None = None) -> Response:
        up = [name for name in self.controllers if name not in self.cut_nodes]
        if not up:
            # No connection, hence no response.
            return Response(504)
        name = node or self.rng.choice(up)
        try:
            async with asyncio.timeout(5):
                return await self.serve(name, Request(method, path, {}, cbor2.dumps(body)))
        except (TimeoutError, KeyError):
            return Response(504)

    async def request_about_job(
        self, job_id: str, method: str, path: str, body: Any = None, node: str | None = None
    ) -> tuple[Response, str | None]:
        """Send a user's request about a job and check the response."""
        asked = self.loop.now
        response = await self.ask(method, path, body, node)
        state = (response.body or {}).get("status")
        self.rules.observe_response(job_id, response.status, state, asked)
        return response, state

    async def submit_once(self, spec: dict[str, Any]) -> Response:
        """Send one submission of a job, new or repeated, without retrying it."""
        response, _ = await self.request_about_job(spec["name_id"], "POST", "/submissions", submission_body(spec))
        return response

    async def submit(self, spec: dict[str, Any], timeout_s: float = 60.0) -> bool:
        self.rules.submitted(spec)
        end = self.loop.now + timeout_s
        while self.loop.now < end:
            response = await self.submit_once(spec)
            if response.status in (200, 201):
                return True
            if response.status in (400, 422):
                return False
            await asyncio.sleep(1)
        return False

    async def poll(self, job_id: str, node: str | None = None) -> str | None:
        _, state = await self.request_about_job(job_id, "GET", f"/submissions/{job_id}", node=node)
        return state

    async def withdraw(self, job_id: str, timeout_s: float = 60.0) -> str | None:
        self.rules.asked_to_cancel.add(job_id)
        end = self.loop.now + timeout_s
        while self.loop.now < end:
            response, state = await self.request_about_job(job_id, "POST", f"/submissions/{job_id}/withdraw")
            if response.status == 200:
                return str(state)
            await asyncio.sleep(1)
        return None

    async def wait_until_finished(self, job_ids: list[str], timeout_s: float) -> dict[str, str | None]:
        end = self.loop.now + timeout_s
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
    """Start a node that is not up."""
    if node not in world.controllers:
        world.start(node)
