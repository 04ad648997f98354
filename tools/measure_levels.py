"""Measures the cost of each compatibility level's storage formats in the simulated world.

    PYTHONPATH=src:. python -m tools.measure_levels [--machines 600] [--value-kb 2]

Runs the same load on the first level and on the second. Prints the number and size of the written pages
and records, the number of stored pages at the end, and the cost of loading the state on a leader change.
"""

import argparse
import asyncio
import json
import random
import time
from collections import Counter
from typing import Any
from unittest import mock

from hdrh.histogram import HdrHistogram

from elmthread.common.features import SUPPORTED
from elmthread.persistence.loading import StateLoader
from elmthread.settings.rollout import RolloutSettings
from tests.world.loop import play
from tests.world.rollouts import PREVIOUS_LEVELS, wait_for_level
from tests.world.settings import ZONES
from tests.world.specs import job
from tests.world.world import World

MAX_RECORD_BYTES = 64 * 1024
# Run time of each task, and the period over which jobs are submitted.
TASK_RUN_TIME_S, SUBMISSION_PERIOD_S = 18.0, 45.0
# Machines per job, and the log-normal distribution of tasks per job: median, sigma, and upper bound.
MACHINES_PER_JOB, MEDIAN_TASKS, TASKS_SIGMA, MAX_TASKS_PER_JOB = 10, 90.0, 1.3, 2500


def measure(level: int, machines: int, value_kb: float) -> list[str]:
    """Run the load on a level and return the lines of the report."""
    world, counts = World(1, 3, machines), Counter[str]()
    record_sizes = {prefix: HdrHistogram(1, MAX_RECORD_BYTES, 3) for prefix in ("m/", "d/", "j/")}
    world.limits = {"value_kb": value_kb, "txn_ops": 4, "write_rps": 15.0}
    world.store.set_limits(value_kb, 4, 15.0)
    world.rollout = RolloutSettings(enabled=True, soak_s=0.2)
    world.levels = dict.fromkeys(world.nodes, SUPPORTED if level > 1 else PREVIOUS_LEVELS)
    transact, load = world.store._transact, StateLoader.load

    def recording_transact(body: Any) -> Any:
        for change in body.get("then", []):
            if change.get("put", "").startswith("s/"):
                counts["pages written"] += 1
                counts["bytes in them"] += len(change["value"]["text"])
                for key, record in json.loads(change["value"]["text"]).items():
                    if key[:2] in record_sizes and record is not None:
                        record_sizes[key[:2]].record_value(len(json.dumps(record, separators=(",", ":"))))
        return transact(body)

    async def timed_load(loader: StateLoader) -> None:
        start_time = time.process_time()
        await load(loader)
        counts["records in the last load"] = len(loader._pages._texts)
        counts["microseconds of processor in it"] = round((time.process_time() - start_time) * 1e6)

    async def run_load() -> None:
        await submit_jobs(world, level, machines)
        counts["pages in the end"] = sum(key.startswith("s/") for key in world.store.items)
        # No worker sends heartbeats while the new leader loads the state.
        world.cut_nodes = set(world.nodes)
        world.kill(world.leader.node)  # type: ignore[union-attr]
        await asyncio.sleep(4)

    with (
        mock.patch.object(world.store, "_transact", recording_transact),
        mock.patch.object(StateLoader, "load", timed_load),
    ):
        play(run_load(), world.loop)
    if world.rules.violations:
        raise AssertionError(world.rules.violations)
    return _report_lines(counts, record_sizes)


def _report_lines(counts: Counter[str], record_sizes: dict[str, Any]) -> list[str]:
    lines = [f"  {count} {name}" for name, count in counts.items()]
    for prefix, histogram in record_sizes.items():
        percentiles = ", ".join(
            f"p{percentile:g} {histogram.get_value_at_percentile(percentile)}" for percentile in (50, 90, 100)
        )
        lines.append(f"  {histogram.get_total_count()} records {prefix}, bytes: {percentiles}")
    return lines


async def submit_jobs(world: World, level: int, machines: int) -> None:
    """Start all machines and controllers and submit jobs of random sizes."""
    rng = random.Random(3)
    for index in range(machines):
        world.rent("small" if index % 3 else "large", ZONES[index % 2], spot=bool(index % 5))
    for node in world.nodes:
        world.start(node)
    await asyncio.sleep(3)
    if level > 1:
        await wait_for_level(world, level)
    for number in range(machines // MACHINES_PER_JOB):
        pieces = min(MAX_TASKS_PER_JOB, int(rng.lognormvariate(0, TASKS_SIGMA) * MEDIAN_TASKS) + 1)
        spec = job(number, pieces=pieces, true_s=TASK_RUN_TIME_S, expected_s=TASK_RUN_TIME_S, kit=f"img-{number % 7}")
        if not await world.submit(spec):
            raise AssertionError(f"submission of {spec['name_id']} was not accepted")
        await asyncio.sleep(SUBMISSION_PERIOD_S / (machines // MACHINES_PER_JOB))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--machines", type=int, default=600)
    parser.add_argument("--value-kb", type=float, default=2.0)
    options = parser.parse_args()
    for level in (1, 2):
        print(f"level {level}, {options.machines} machines, values of {options.value_kb:g} KiB (simulated):")
        print("\n".join(measure(level, options.machines, options.value_kb)), flush=True)
