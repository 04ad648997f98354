"""Staged rollouts in the simulated world: nodes of several versions, and a monitor that checks invariants.

A node with levels 1 to 1 simulates the previous version: it announces these levels and reads no record form
of a higher one. The monitor sees each transaction that the state service applies, also late or a second
time, and each state that a leader has loaded; it does not depend on the code's decisions.
"""

import asyncio
import base64
import json
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any
from unittest import mock

from bitarray.util import sc_decode

from elmthread.cluster.job import JobState
from elmthread.common.features import SupportedLevels
from elmthread.persistence.loading import StateLoader
from elmthread.settings.rollout import RolloutSettings
from tests.world.earlier_reader import newest_records
from tests.world.world import World, start

PREVIOUS_LEVELS = SupportedLevels(1, 1)
SOAK_S = 4.0
# A record that keeps versions without levels from leading with record forms that they would misread.
FENCE = "t/compatibility"


def configure_previous_version(world: World) -> None:
    """Make all nodes start as the previous version, with rollout enabled."""
    world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
    world.levels = dict.fromkeys(world.nodes, PREVIOUS_LEVELS)


def replace(world: World, node: str, levels: SupportedLevels, after: float) -> None:
    """Kill a node's process and start another one, of the version with these levels."""
    if node in world.controllers:
        world.kill(node)
    world.levels[node] = levels
    world.loop.call_later(after, partial(start, world, node))


async def wait_for_level(world: World, level: int, timeout_s: float = 60.0) -> float:
    """Wait until every node knows that the level is active; return how long that took, in seconds."""
    began = world.loop.now
    while any(
        node not in world.controllers or world.controllers[node].rollout.features.level < level for node in world.nodes
    ):
        if world.loop.now - began > timeout_s:
            raise AssertionError(f"level {level} is not known everywhere after {timeout_s} s")
        await asyncio.sleep(0.1)
    return world.loop.now - began


def stored_level(world: World) -> int:
    """Return the active level in the store."""
    return int(world.store.items["rollout/level"][0]["level"]) if "rollout/level" in world.store.items else 1


def is_level_2_form(key: str, record: Any) -> bool:
    """Return whether a record has a form that only level 2 writes."""
    if key == FENCE:
        return True
    return record is not None and (
        (key.startswith("d/") and "bits" in record) or (key.startswith("m/") and "runs" in record)
    )


def done_in_store(world: World) -> dict[str, set[int]]:
    """Return the done tasks of open jobs in the store, decoded independently of the code under test."""
    records = newest_records(world.store.values())
    found: dict[str, set[int]] = {}
    for key, record in records.items():
        if not key.startswith("d/"):
            continue
        _, job_id, chunk = key.split("/")
        job = records.get(f"j/{job_id}")
        if job is None or job["state"] != "open":
            continue
        low, marked = int(chunk) * job["chunk"], found.setdefault(job_id, set())
        if "bits" in record:
            bits = sc_decode(base64.b64decode(record["bits"]))
            marked |= {low + n for n, bit in enumerate(bits) if bool(bit) is not record.get("inverted", False)}
        else:
            marks = int.from_bytes(bytes.fromhex(record["marks"]), "little")
            marked |= {low + n for n in range(marks.bit_length()) if marks >> n & 1}
    return found


def assigned_in_store(world: World) -> set[tuple[str, str, int, int]]:
    """Return (machine, job, task, attempt) of each assignment in the store, decoded independently of the code."""
    found = set()
    for key, record in newest_records(world.store.values()).items():
        if not key.startswith("m/"):
            continue
        for job_id, numbers in record.get("holds", {}).items():
            for index in range(0, len(numbers), 2):
                found.add((key[2:], job_id, numbers[index], numbers[index + 1]))
        for job_id, numbers in record.get("runs", {}).items():
            for index in range(0, len(numbers), 3):
                task, attempt, count = numbers[index : index + 3]
                found |= {(key[2:], job_id, task + n, record.get("base", 0) + attempt + n) for n in range(count)}
    return found


class RolloutMonitor:
    """Collects violations of the guarantees of a staged rollout."""

    def __init__(self, world: World) -> None:
        """Start watching the world's state service."""
        self._world = world
        self.violations: list[str] = []
        self.activations: list[float] = []
        self.loads = 0
        self._transact = world.store._transact
        world.store._transact = self._check_transaction  # type: ignore[method-assign]

    def _report_violation(self, what: str) -> None:
        self.violations.append(f"{self._world.loop.now:.2f} {what}")

    def _check_transaction(self, body: Any) -> Any:
        before, fenced = stored_level(self._world), self._fence_exists()
        answer = self._transact(body)
        if answer.status != 200:
            return answer
        for change in body.get("then", []):
            if change.get("put", "").startswith("rollout/nodes/") and change["value"]["highest"] < before:
                self._report_violation(f"{change['put']}: announced below the active level {before}")
            if change.get("put") == "rollout/level":
                self._level_written(before, change["value"]["level"])
            if change.get("put", "").startswith("s/"):
                for key, record in json.loads(change["value"]["text"]).items():
                    if is_level_2_form(key, record) and before < 2:
                        self._report_violation(f"{key}: a form of level 2 is written while level {before} is active")
                    if is_level_2_form(key, record) and key != FENCE and not fenced:
                        self._report_violation(f"{key}: a form of level 2 is written before the fence")
        return answer

    def _fence_exists(self) -> bool:
        pages = [value["text"] for key, (value, _, _) in self._world.store.items.items() if key.startswith("s/")]
        return any(f'"{FENCE}"' in text for text in pages)

    def _level_written(self, before: int, level: int) -> None:
        self.activations.append(self._world.loop.now)
        if level <= before:
            self._report_violation(f"the level falls from {before} to {level}")
        for node in self._world.nodes:
            key = f"rollout/nodes/{node}"
            highest = self._world.store.items[key][0]["highest"] if key in self._world.store.items else 1
            if highest < level:
                self._report_violation(f"level {level} is active though {node} announces {highest}")
            # A version without levels has no `rollout`: the fence prevents it from leading.
            rollout = getattr(self._world.controllers.get(node), "rollout", None)
            if rollout is not None and level not in rollout.supported and rollout.gate.admitted:
                self._report_violation(f"level {level} is active while {node} serves a version that does not read it")

    def loaded(self, loader: StateLoader) -> None:
        """Check the state that a leader has loaded against the store, whatever the form of its records."""
        self.loads += 1
        stored, finished = done_in_store(self._world), self._world.rules.finished
        for job_id, job in loader._cluster.jobs.items():
            if not job.is_open:
                continue
            marked = {task for task in range(job.task_count) if job.is_done(task)}
            if marked != {task for task in stored.get(job_id, set()) if task < job.task_count}:
                self._report_violation(
                    f"{job_id} is misread as {sorted(marked)[:9]}: stored {sorted(stored.get(job_id, set()))[:9]}"
                )
            if not {f"{job_id}/{task}" for task in marked} <= finished:
                self._report_violation(f"{job_id} has tasks marked as done that have not finished")
        machines, jobs = loader._cluster.machines.values(), loader._cluster.jobs
        held = {
            (one.name, allocation.job.id, allocation.task, allocation.attempt)
            for one in machines
            for allocation in one.allocations.values()
        }
        expected = {
            one
            for one in assigned_in_store(self._world)
            if one[1] in jobs and jobs[one[1]].state is not JobState.DONE and not jobs[one[1]].is_done(one[2])
        }
        if held != expected:
            self._report_violation(f"assignments are misread: {sorted(held ^ expected)[:5]}")
        if stored_level(self._world) not in loader._level.supported:
            self._report_violation(f"the state is loaded by a version without level {stored_level(self._world)}")


@contextmanager
def monitored(world: World) -> Iterator[RolloutMonitor]:
    """Watch a world with a monitor that also checks every load by a leader."""
    monitor = RolloutMonitor(world)
    load = StateLoader.load

    async def watched(loader: StateLoader) -> None:
        await load(loader)
        monitor.loaded(loader)

    with mock.patch.object(StateLoader, "load", watched):
        yield monitor
