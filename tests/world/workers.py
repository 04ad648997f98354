"""A simulated worker: sends heartbeats, executes commands, and kills its tasks when its lease expires."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import cbor2

from elmthread.net.http_messages import Request, Response
from tests.world.loop import SimLoop
from tests.world.rules import Rules
from tests.world.simulated_cloud import SimulatedMachine


@dataclass
class WorkerTask:
    name: str
    attempt: int
    state: str = "fetching"
    exit_cause: str | None = None
    state_ends_at: float = 0.0


# Sends a worker's request to a node.
Send = Callable[[str, str, Request], Awaitable[Response]]
# A worker gives up waiting for the response to a heartbeat after this long, and drops it from then on.
RESPONSE_TIMEOUT_S = 4.0


@dataclass(frozen=True)
class AnsweredHeartbeat:
    """A response whose commands a worker has executed, with the heartbeat that it answers."""

    body: Any
    sent_at: float
    incarnation: int


@dataclass(frozen=True)
class WorkerEnvironment:
    """What all workers share: the loop, the controllers that they report to, and the heartbeat interval."""

    loop: SimLoop
    rng: random.Random
    rules: Rules
    nodes: list[str]
    send: Send
    heartbeat_interval_s: float
    # Called with a worker and each response whose commands it has executed.
    on_executed: "Callable[[Worker, AnsweredHeartbeat], None]" = lambda worker, answered: None


class Worker:
    """A machine's worker; it runs until it is terminated."""

    def __init__(
        self, environment: WorkerEnvironment, machine: SimulatedMachine, machine_type: dict[str, Any], lease_s: float
    ) -> None:
        """Start sending heartbeats; `lease_s` includes the drift of the worker's clock, if any."""
        self.loop, self.rng, self.rules = environment.loop, environment.rng, environment.rules
        self.nodes, self.send, self.on_executed = environment.nodes, environment.send, environment.on_executed
        self.name, self.machine_type, self.zone, self.spot = machine.name, machine_type, machine.zone, machine.spot
        self.heartbeat_interval_s, self.lease_s = environment.heartbeat_interval_s, lease_s
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.completed: set[str] = set()
        # How often it has begun each attempt, by incarnation, task and attempt.
        self.begun: Counter[tuple[int, str, int]] = Counter()
        self.images: set[str] = set()
        self.lease_renewed_at = self.loop.now
        self.alive = True
        self.hung = False
        self.faulty = False
        self.interruption_at: float | None = None
        self.node = self.rng.choice(self.nodes)
        self.state_changed = asyncio.Event()
        self.background_tasks = [
            self.loop.create_task(self._send_heartbeats()),
            self.loop.create_task(self._run_tasks()),
        ]

    def terminate(self) -> None:
        self.alive = False
        for task in self.background_tasks:
            task.cancel()
        self._drop_tasks()

    def restart(self, incarnation: int) -> None:
        """Restart the machine at once, without its tasks, as this incarnation."""
        self._drop_tasks()
        self.incarnation, self.sequence, self.fencing_token = incarnation, 0, 0
        self.lease_renewed_at = self.loop.now
        self.state_changed.set()

    def _drop_tasks(self) -> None:
        for task in self.tasks.values():
            self.rules.task_ended(self.name, task.name)
        self.tasks.clear()

    async def _run_tasks(self) -> None:
        """Advance the tasks, and kill them when the lease expires."""
        while True:
            await asyncio.sleep(0.1)
            now = self.loop.now
            # Tasks on a hung machine survive until its lease expires.
            if now - self.lease_renewed_at > self.lease_s:
                self._drop_tasks()
                self.incarnation += 1
                self.lease_renewed_at = now
                self.state_changed.set()
            if self.hung:
                continue
            for task in self.tasks.values():
                if task.state != "exited" and now >= task.state_ends_at:
                    self._advance(task)
                    self.state_changed.set()

    def _advance(self, task: WorkerTask) -> None:
        """Move a task to its next state: it runs once its image is fetched, and exits after its duration."""
        spec = self.rules.specs[task.name.rpartition("/")[0]]
        if task.state == "fetching":
            self.images.add(spec["kit"])
            task.state = "running"
            durations = spec.get("each_s")
            duration_s = spec["true_s"] if durations is None else durations[int(task.name.rpartition("/")[2])]
            task.state_ends_at = self.loop.now + (
                0 if task.name in self.completed else duration_s * self.rng.uniform(0.9, 1.1)
            )
            self.rules.task_started(self.name, task.name, self.machine_type["name"], self.zone, self.spot)
            if self.faulty:
                self._exit(task, "error")
        else:
            outcome = spec.get("ends", "done") if task.state == "running" else "halted"
            if outcome == "done" and spec["form"] == "batch":
                self.completed.add(task.name)
                self.rules.completed(task.name)
            self._exit(task, outcome)

    def _exit(self, task: WorkerTask, exit_cause: str) -> None:
        task.state, task.exit_cause = "exited", exit_cause
        self.rules.task_ended(self.name, task.name)

    def heartbeat_body(self) -> dict[str, Any]:
        self.sequence += 1
        tasks = []
        for task in self.tasks.values():
            entry: dict[str, Any] = {"piece": task.name, "try": task.attempt, "status": task.state}
            if task.exit_cause:
                entry["cause"] = task.exit_cause
            tasks.append(entry)
        return {
            "loom": self.name,
            "endpoint": "10.1.0.1:9000",
            "build": self.machine_type["name"],
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.incarnation,
            "tally": self.sequence,
            "baton": self.fencing_token,
            "recall_s": None if self.interruption_at is None else max(0.0, self.interruption_at - self.loop.now),
            "pieces": tasks,
        }

    async def _send_heartbeats(self) -> None:
        while True:
            if self.hung:
                await asyncio.sleep(0.1)
                continue
            sent, incarnation = self.loop.now, self.incarnation
            self.state_changed.clear()
            request = Request("POST", "/agent/beat", {}, cbor2.dumps(self.heartbeat_body()))
            status, body = 0, None
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                    response = await self.send(self.name, self.node, request)
                    status, body = response.status, response.body
            except (TimeoutError, ConnectionError):
                pass
            if self.hung or not self.alive:
                continue
            if status == 200 and self.loop.now - sent < RESPONSE_TIMEOUT_S:
                answered = AnsweredHeartbeat(body, sent, incarnation)
                self._handle_response(answered)
                self.on_executed(self, answered)
                # Heartbeats are at least 0.5 s apart, and sent after about `report_s` at the latest.
                await asyncio.sleep(0.5)
                try:
                    async with asyncio.timeout(self.heartbeat_interval_s * self.rng.uniform(0.75, 1.25) - 0.5):
                        await self.state_changed.wait()
                except TimeoutError:
                    pass
                continue
            leader = body.get("foreman") if status == 421 and isinstance(body, dict) else None
            if leader in self.nodes and leader != self.node:
                self.node = leader
                await asyncio.sleep(0.2)
            else:
                self.node = self.nodes[(self.nodes.index(self.node) + 1) % len(self.nodes)]
                await asyncio.sleep(1)

    def receive_copy(self, answered: AnsweredHeartbeat) -> None:
        """Receive a response again, and execute its commands again unless the response is too old."""
        if self.alive and not self.hung and self.loop.now - answered.sent_at < RESPONSE_TIMEOUT_S:
            self._handle_response(answered)

    def _handle_response(self, answered: AnsweredHeartbeat) -> None:
        body, sent, incarnation = answered.body, answered.sent_at, answered.incarnation
        fencing_token = body.get("baton")
        if fencing_token is None or fencing_token < self.fencing_token or incarnation != self.incarnation:
            return
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            self.state_changed.set()
        self.lease_renewed_at = max(self.lease_renewed_at, sent)
        for order in body["orders"]:
            self._execute(order)

    def _execute(self, order: dict[str, Any]) -> None:
        key = (order["piece"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "start":
            if task is None:
                self._start(*key)
        elif order["verb"] == "halt":
            if task is not None and task.state != "exited":
                if order["wind_down_s"] > 0 and task.state == "running":
                    task.state, task.state_ends_at = "saving", self.loop.now + 1
                elif task.state != "saving" or order["wind_down_s"] == 0:
                    self._exit(task, "halted")
        elif order["verb"] == "reap" and task is not None and task.state == "exited":
            del self.tasks[key]
        self.state_changed.set()

    def _start(self, name: str, attempt: int) -> None:
        self.begun[self.incarnation, name, attempt] += 1
        task = self.tasks[name, attempt] = WorkerTask(name, attempt)
        spec = self.rules.specs.get(name.rpartition("/")[0])
        live = [other for other in self.tasks.values() if other.state != "exited" and other is not task]
        if spec is None:
            task.state, task.exit_cause = "exited", "no_such"
        elif any(other.name == name for other in live):
            task.state, task.exit_cause = "exited", "in_use"
        else:
            used = sum(self.rules.specs[other.name.rpartition("/")[0]]["cpus"] for other in live)
            if used + spec["cpus"] > self.machine_type["cpus"] + 1e-6:
                task.state, task.exit_cause = "exited", "no_room"
            else:
                task.state_ends_at = self.loop.now + (0.0 if spec["kit"] in self.images else 2.0)
