"""Workers, written from PROTOCOL-elmthread.md: reports, tokens, leases, commands, images, tasks that save."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any, Protocol

from review.standins2.platform import Host
from review.standins2.wire import Client, NoAnswerError

# What a task takes of its machine, under the names of the submission and of the machine type.
AMOUNTS = ("cpus", "cards", "ram_gb")
ANSWER_S, NEXT_NODE_S, MIN_GAP_S = 4.0, 1.0, 0.5


class Floor(Protocol):
    """Knows the jobs that users uploaded, and is told what is on which machine."""

    def job(self, job_id: str) -> dict[str, Any] | None: ...
    def ordered(self, machine: Host, order: dict[str, Any]) -> None: ...
    def started(self, machine: Host, task: str, attempt: int) -> None: ...
    def ended(self, machine: Host, task: str, attempt: int, why: str) -> None: ...


@dataclass
class Task:
    """An attempt of a task on a machine."""

    name: str
    attempt: int
    state: str
    cause: str | None = None
    until: float = 0.0

    @property
    def live(self) -> bool:
        """Whether it takes room on its machine."""
        return self.state != "exited"

    @property
    def job_id(self) -> str:
        return self.name.rpartition("/")[0]


class Worker:
    """One machine's worker."""

    def __init__(
        self, host: Host, build: dict[str, Any], nodes: dict[str, str], floor: Floor, report_s: float, lease_s: float
    ) -> None:
        self.host, self._nodes, self._floor = host, nodes, floor
        self._room = {name: build[name] for name in AMOUNTS}
        self._fetch_gb_per_s = build["fetch_gb_per_s"]
        self._report_s, self._lease_s = report_s, lease_s
        self.node = random.choice(list(nodes))
        self.shift, self._tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self._results: set[str] = set()
        self._images: set[str] = set()
        # When each image that is being fetched will be there; given up when no task waits for it any more.
        self._fetches: dict[str, float] = {}
        self._leased_from = time.monotonic()
        self._client: Client | None = None
        self._wake = asyncio.Event()
        # No packet passes between this machine and anybody else; the machine itself goes on.
        self.cut = False
        # The last controller that answered with 200.
        self.answered_by: str | None = None
        self._jobs = [asyncio.create_task(self._report()), asyncio.create_task(self._work())]

    def has_room(self, job: dict[str, Any], apart_from: Task | None = None) -> bool:
        """Return whether a task of the job fits beside those on the machine; tasks that are fetching count."""
        live = [self._floor.job(task.job_id) for task in self.tasks.values() if task.live and task is not apart_from]
        return all(
            job[name] + sum(other[name] for other in live if other is not None) <= self._room[name] + 1e-6
            for name in AMOUNTS
        )

    def stop(self) -> None:
        """The machine and all that is on it are gone."""
        for job in self._jobs:
            job.cancel()
        self._drop("gone")
        if self._client is not None:
            self._client.close()

    def _drop(self, why: str) -> None:
        for task in self.tasks.values():
            if task.state in ("running", "saving"):
                self._floor.ended(self.host, task.name, task.attempt, why)
        self.tasks.clear()

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self._leased_from > self._lease_s:
                self._drop("lease")
                self.shift += 1
                self._leased_from = now
                self._wake.set()
            self._fetch(now)
            for task in list(self.tasks.values()):
                if task.state != "exited" and now >= task.until:
                    self._advance(task, now)
                    self._wake.set()

    def _fetch(self, now: float) -> None:
        """Fetch each image that tasks wait for once, and give up those for which none waits any more."""
        waiting = [task for task in self.tasks.values() if task.state == "fetching"]
        wanted = {job["kit"]: job["size_gb"] for task in waiting if (job := self._floor.job(task.job_id)) is not None}
        self._fetches = {image: at for image, at in self._fetches.items() if image in wanted}
        for image, size_gb in wanted.items():
            self._fetches.setdefault(image, now if image in self._images else now + size_gb / self._fetch_gb_per_s)
        for task in waiting:
            task.until = self._fetches[self._floor.job(task.job_id)["kit"]]  # type: ignore[index]

    def _advance(self, task: Task, now: float) -> None:
        job = self._floor.job(task.job_id)
        assert job is not None
        if task.state == "fetching":
            self._images.add(job["kit"])
            task.state = "running"
            self._floor.started(self.host, task.name, task.attempt)
            task.until = now + (0 if task.name in self._results else job["run_s"])
        elif task.state == "saving":
            self._exit(task, "halted")
        else:
            self._results.add(task.name)
            self._exit(task, "done")

    def _exit(self, task: Task, cause: str) -> None:
        if task.state in ("running", "saving"):
            self._floor.ended(self.host, task.name, task.attempt, cause)
        task.state, task.cause = "exited", cause

    def _body(self) -> dict[str, Any]:
        self._tally += 1
        pieces = []
        for task in self.tasks.values():
            piece: dict[str, Any] = {"piece": task.name, "try": task.attempt, "status": task.state}
            if task.cause:
                piece["cause"] = task.cause
            pieces.append(piece)
        return {
            "loom": self.host.name,
            "endpoint": "127.0.0.1:1",
            "build": self.host.build,
            "yard": self.host.yard,
            "loaners": self.host.loaners,
            "shift": self.shift,
            "tally": self._tally,
            "baton": self.baton,
            "recall_s": None,
            "pieces": pieces,
        }

    async def _send(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Return status and body of the answer, or status 0 if none came."""
        sent = time.monotonic()
        if not self.cut:
            try:
                if self._client is None:
                    self._client = Client(self._nodes[self.node])
                status, _, answer = await self._client.call("POST", "/agent/beat", body, ANSWER_S)
                if not self.cut:
                    return status, answer
            except NoAnswerError:
                if not self.cut:
                    return 0, None
        # Cut off: the connection hangs without an error until the worker gives up.
        await asyncio.sleep(max(0.0, sent + ANSWER_S - time.monotonic()))
        if self._client is not None:
            self._client.close()
        return 0, None

    async def _report(self) -> None:
        while True:
            sent, shift = time.monotonic(), self.shift
            self._wake.clear()
            status, answer = await self._send(self._body())
            if status == 200:
                self.answered_by = self.node
                self._accept(answer, sent, shift)
                await asyncio.sleep(MIN_GAP_S)
                try:
                    async with asyncio.timeout(self._report_s * random.uniform(0.75, 1.25) - MIN_GAP_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                continue
            foreman = answer.get("foreman") if status == 421 and isinstance(answer, dict) else None
            if foreman in self._nodes and foreman != self.node:
                self._go_to(foreman)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                names = list(self._nodes)
                self._go_to(names[(names.index(self.node) + 1) % len(names)])
                await asyncio.sleep(NEXT_NODE_S)

    def _go_to(self, node: str) -> None:
        if self._client is not None:
            self._client.close()
        self.node, self._client = node, None

    def _accept(self, answer: Any, sent: float, shift: int) -> None:
        baton = answer.get("baton")
        if baton is None or baton < self.baton or shift != self.shift:
            return
        if baton > self.baton:
            self.baton = baton
            self._wake.set()
        self._leased_from = max(self._leased_from, sent)
        for order in answer.get("orders", []):
            self._execute(order)

    def _execute(self, order: dict[str, Any]) -> None:
        self._floor.ordered(self.host, order)
        key = (order["piece"], order["try"])
        task = self.tasks.get(key)
        if order["verb"] == "start" and task is None:
            self._start(*key)
        elif order["verb"] == "halt" and task is not None and task.state != "exited":
            job = self._floor.job(task.job_id) or {"snapshot_every_s": 0.0, "snapshot_s": 0.0}
            saves = job["snapshot_every_s"] > 0 and order["wind_down_s"] >= job["snapshot_s"]
            if task.state == "running" and saves:
                task.state, task.until = "saving", time.monotonic() + job["snapshot_s"]
            elif task.state != "saving" or order["wind_down_s"] == 0:
                self._exit(task, "halted")
        elif order["verb"] == "reap" and task is not None and task.state == "exited":
            del self.tasks[key]
        self._wake.set()

    def _start(self, name: str, attempt: int) -> None:
        live = [task for task in self.tasks.values() if task.state != "exited"]
        task = self.tasks[name, attempt] = Task(name, attempt, "fetching")
        job = self._floor.job(task.job_id)
        if job is None:
            task.state, task.cause = "exited", "no_such"
        elif any(other.name == name for other in live):
            task.state, task.cause = "exited", "in_use"
        elif not self.has_room(job, task):
            task.state, task.cause = "exited", "no_room"
        else:
            task.until = float("inf")
