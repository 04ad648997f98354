"""Measures done marks in both stored forms, in the simulated world.

    PYTHONPATH=src:. python -m tools.measure_marks [--machines 600] [--value-kb 2]

The same load runs on the first level (hexadecimal marks) and on the second (compressed bitmaps). It prints the
sizes of the records as histograms, what the transactions carried, the slots, and what a new leader's load took.
"""

import argparse
import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from elmthread.ledger.loading import Loader
from elmthread.rollout.features import SUPPORTED
from elmthread.rollout.settings import RolloutSettings
from tests.world.earlier import newest
from tests.world.loop import play
from tests.world.rollouts import BEFORE, until_level
from tests.world.world import ZONES, World, job

LARGEST_RECORD = 64 * 1024
# A task's run time, and how long jobs are submitted for.
TASK_S, SUBMITTED_FOR_S = 18.0, 45.0
# Machines for each job, and the sizes of jobs: the median, the spread of the logarithm, the largest.
MACHINES_PER_JOB, MEDIAN_TASKS, SPREAD, MOST_TASKS = 10, 90.0, 1.3, 2500


@dataclass
class Figures:
    """What one run showed."""

    sizes: Any = field(default_factory=lambda: HdrHistogram(1, LARGEST_RECORD, 3))
    written: Counter[str] = field(default_factory=Counter)
    standing: list[tuple[int, int]] = field(default_factory=list)
    slots: int = 0
    load_requests: int = 0
    load_records: int = 0
    load_cpu_s: float = 0.0

    def lines(self) -> list[str]:
        """For the report."""
        sizes = ", ".join(f"p{part:g} {self.sizes.get_value_at_percentile(part)}" for part in (50, 90, 99, 100))
        records = sum(count for count, _ in self.standing) / len(self.standing)
        size = sum(size for _, size in self.standing) / len(self.standing)
        return [
            f"  {self.sizes.get_total_count()} done records written, bytes: {sizes}",
            f"  in transactions: {self.written['done']} bytes of done records of {self.written['all']} in slots, "
            f"{self.written['slots']} slots",
            f"  standing: {records:.1f} done records of {size:.0f} bytes on average, {self.slots} slots at the end",
            f"  a new leader's load: {self.load_requests} requests, {self.load_records} records, "
            f"{self.load_cpu_s * 1000:.1f} ms of processor",
        ]


class Run:
    """The load on one level."""

    def __init__(self, level: int, machines: int, value_kb: float) -> None:
        """Level 1 or 2."""
        self._level, self._machines = level, machines
        self.figures = Figures()
        self._world = World(1, 3, machines)
        self._world.limits = {"value_kb": value_kb, "txn_ops": 4, "write_rps": 15.0}
        self._world.store.limit(value_kb, 4, 15.0)
        self._world.rollout = RolloutSettings(enabled=True, soak_s=0.2)
        self._world.levels = dict.fromkeys(self._world.nodes, SUPPORTED if level > 1 else BEFORE)
        self._transact = self._world.store._transact
        self._world.store._transact = self._noting  # type: ignore[method-assign]

    def _noting(self, body: Any) -> Any:
        answer = self._transact(body)
        if answer.status == 200:
            for change in body.get("then", []):
                if change.get("put", "").startswith("s/"):
                    self._note(change["value"]["text"])
        return answer

    def _note(self, text: str) -> None:
        self.figures.written["slots"] += 1
        self.figures.written["all"] += len(text)
        for key, record in json.loads(text).items():
            if key.startswith("d/") and record is not None:
                size = len(key) + len(json.dumps(record, separators=(",", ":")))
                self.figures.sizes.record_value(size)
                self.figures.written["done"] += size

    def play(self) -> Figures:
        """Runs it to its end."""
        play(self._script(), self._world.loop)
        if self._world.rules.broken:
            raise AssertionError(self._world.rules.broken)
        return self.figures

    async def _script(self) -> None:
        world, rng = self._world, random.Random(3)
        for index in range(self._machines):
            world.rent("small" if index % 3 else "large", ZONES[index % 2], spot=bool(index % 5))
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(3)
        if self._level > 1:
            await until_level(world, self._level)
        jobs = self._machines // MACHINES_PER_JOB
        for number in range(jobs):
            pieces = min(MOST_TASKS, int(rng.lognormvariate(0, SPREAD) * MEDIAN_TASKS) + 1)
            spec = job(number, pieces=pieces, true_s=TASK_S, expected_s=TASK_S, kit=f"img-{number % 7}")
            if not await world.submit(spec):
                raise AssertionError("not accepted")
            await asyncio.sleep(SUBMITTED_FOR_S / jobs)
            if number % (jobs // 15) == 0:
                self._look()
        await self._load()

    def _look(self) -> None:
        records = newest({key: value for key, (value, _, _) in self._world.store.items.items()})
        done = {key: record for key, record in records.items() if key.startswith("d/")}
        size = sum(len(key) + len(json.dumps(record, separators=(",", ":"))) for key, record in done.items())
        self.figures.standing.append((len(done), size))

    async def _load(self) -> None:
        """The leader ends; the next one's load is measured."""
        world, figures = self._world, self.figures
        figures.slots = sum(key.startswith("s/") for key in world.store.items)
        leader = world.leader
        assert leader is not None
        load, page = Loader.load, world.store._page

        async def measured(loader: Loader) -> None:
            began = time.process_time()
            await load(loader)
            figures.load_cpu_s = time.process_time() - began
            figures.load_records = len(loader._slots._texts)

        def counted(query: dict[str, str]) -> Any:
            figures.load_requests += query["starts"] != "leader"
            return page(query)

        Loader.load = measured  # type: ignore[assignment, method-assign]
        world.store._page = counted  # type: ignore[method-assign]
        # Alone, so that nothing else of the world runs in between.
        world.cut_nodes = set(world.nodes)
        world.kill(leader.api._node)
        while not figures.load_records:
            await asyncio.sleep(0.05)
        Loader.load = load  # type: ignore[method-assign]


def main() -> None:
    """Both runs, one after the other."""
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("--machines", type=int, default=600)
    arguments.add_argument("--value-kb", type=float, default=2.0)
    given = arguments.parse_args()
    for level, name in ((1, "hexadecimal marks"), (2, "compressed bitmaps")):
        figures = Run(level, given.machines, given.value_kb).play()
        print(f"{name}, {given.machines} machines, values of {given.value_kb:g} KiB (simulated):")
        print("\n".join(figures.lines()), flush=True)


if __name__ == "__main__":
    main()
