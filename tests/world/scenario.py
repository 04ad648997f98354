"""Users of a simulated world: they submit, query and cancel jobs while faults are injected."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from tests.world.service_ports import ServiceFaults
from tests.world.specs import job
from tests.world.world import World

FaultScript = Callable[["Scenario"], Coroutine[Any, Any, None]]


class Scenario:
    """A simulated world with its users, into which faults are injected."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.ids: list[str] = []
        self.number = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    # Users

    def begin(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        task = self.world.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def end(self) -> None:
        """Wait until all work that was begun has ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def spec(self, **changes: Any) -> dict[str, Any]:
        self.number += 1
        return job(self.number, **changes)

    async def submit(self, **changes: Any) -> str | None:
        spec = self.spec(**changes)
        if await self.world.submit(spec, 30.0):
            self.ids.append(spec["name_id"])
            return str(spec["name_id"])
        return None

    async def submit_initial_jobs(self) -> None:
        """Submit the initial jobs: a team at its limit, zone rules, checkpoints, tasks that end far apart."""
        await self.submit(crew="red", pieces=14, true_s=25.0, expected_s=25.0)
        await self.submit(crew="red", urgency="high", pieces=4, cpus=2.0, true_s=12.0, expected_s=12.0)
        for _ in range(3):
            await self.submit(crew="red", pieces=3, cpus=2.0, true_s=20.0, expected_s=20.0)
        await self.submit(pieces=3, each_s=[4.0, 30.0, 55.0], expected_s=30.0)
        await self.submit(pieces=2, each_s=[3.0, 45.0], expected_s=20.0, loaners=False)
        await self.submit(pieces=6, yard="north", true_s=20.0, expected_s=20.0)
        await self.submit(pieces=5, one_zone=True, true_s=20.0, expected_s=20.0)
        await self.submit(pieces=5, scatter=True, true_s=15.0, expected_s=15.0, urgency="high")
        await self.submit(pieces=4, true_s=90.0, expected_s=90.0, snapshot_every_s=5.0, snapshot_s=1.0)
        await self.submit(pieces=30, cpus=2.0, true_s=10.0, expected_s=10.0, urgency="best_effort")

    def unfinished(self) -> list[str]:
        states = self.world.rules.reported_states
        return [one for one in self.ids if states.get(one) not in ("done", "cancelled")]

    async def query_all_nodes(self, job_id: str) -> None:
        """Query every node repeatedly within milliseconds, and repeat the submission."""
        world = self.world
        for _ in range(3):
            asks = [world.poll(job_id, node) for node in world.nodes if node in world.controllers]
            await asyncio.gather(*asks, world.submit_once(world.rules.specs[job_id]))
            await asyncio.sleep(world.rng.uniform(0.001, 0.05))

    async def cancel(self, job_id: str, timeout_s: float = 60.0) -> None:
        if await self.world.withdraw(job_id, timeout_s) is not None:
            await self.query_all_nodes(job_id)

    # Machines and nodes

    def sample_workers(self, share: float) -> list[str]:
        names = sorted(self.world.workers)
        return self.world.rng.sample(names, max(1, round(len(names) * share))) if names else []

    def leader(self) -> str | None:
        return None if self.world.leader is None else self.world.leader.node

    def kill(self, node: str, restart_after_s: float) -> None:
        if node in self.world.controllers:
            self.world.kill(node)
            self.world.loop.call_later(restart_after_s, self._restart, node)

    def _restart(self, node: str) -> None:
        if node not in self.world.controllers:
            self.world.start(node)

    def store_faults(self) -> list[ServiceFaults]:
        return [self.world.ports[node].store.faults for node in self.world.nodes]


def add_temporarily(scenario: Scenario, faulty: set[Any], added: set[Any], for_s: float) -> None:
    """Add items to one of the world's sets of faulty parts, and remove them after `for_s` seconds."""
    faulty |= added
    scenario.world.loop.call_later(for_s, faulty.difference_update, added)
