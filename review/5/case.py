"""Case 5: after a change of leader, a job bound to one zone is started in a second zone."""

import asyncio
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target/app")]

from review.standins2.cluster import BLUEMOUNT, Cluster, job, run_case  # noqa: E402
from review.standins2.platform import Host  # noqa: E402

CUT_ZONE, OTHER_ZONE = "montego-bay", "kingston"
CUT_S, AFTER_HEAL_S = 30.0, 8.0
BOUND, FIRST, LAST = "run-000101", 100, 102


async def play(cluster: Cluster, trouble: bool) -> None:
    """Cut a zone off, let it heal, and then let the leader crash; watch where the bound job's tasks start."""

    def check(machine: Host, task: str, spec: dict[str, Any]) -> None:
        others = cluster.tasks_on(spec["name_id"])
        elsewhere = {zone: count for zone, count in others.items() if zone != machine.yard and count}
        if spec["one_zone"] and elsewhere:
            cluster.violate("wrong_place", f"{task} starts in {machine.yard} while its job's tasks are on {elsewhere}")
        if spec["yard"] not in (None, machine.yard):
            cluster.violate("wrong_place", f"{task} starts in {machine.yard}, its job allows {spec['yard']} only")

    cluster.on_start = check
    for zone, count in ((CUT_ZONE, 4), (OTHER_ZONE, 2)):
        for _ in range(count):
            cluster.cloud.add("proof-node", zone, False)
    # Fills the other zone for a while, so that the bound job begins in the zone that is cut off later.
    await cluster.submit(job(FIRST, pieces=8, yard=OTHER_ZONE, expected_s=24.0, run_s=24.0))
    await cluster.wait_until("the other zone is full", lambda: cluster.tasks_on("run-000100")[OTHER_ZONE] == 8, 20)
    await cluster.submit(job(101, pieces=14, one_zone=True, expected_s=150.0, run_s=150.0))
    await cluster.wait_until("the bound job runs", lambda: cluster.tasks_on(BOUND)[CUT_ZONE] == 14, 20)
    if not trouble:
        await asyncio.sleep(CUT_S + AFTER_HEAL_S)
        await cluster.submit(job(LAST, pieces=8, yard=OTHER_ZONE, expected_s=60.0, run_s=60.0))
        await asyncio.sleep(25)
        return
    inside = [worker for worker in cluster.workers.values() if worker.host.yard == CUT_ZONE]
    for worker in inside:
        worker.cut = True
    cluster.log(f"{CUT_ZONE} is cut off")
    await asyncio.sleep(CUT_S)
    for worker in inside:
        worker.cut = False
    cluster.log(f"{CUT_ZONE} is connected again")
    await cluster.wait_until("the bound job runs elsewhere", lambda: cluster.tasks_on(BOUND)[OTHER_ZONE] == 8, 5)
    # More work for the other zone, which waits for room there.
    await cluster.submit(job(LAST, pieces=8, yard=OTHER_ZONE, expected_s=60.0, run_s=60.0))
    await asyncio.sleep(AFTER_HEAL_S)
    await cluster.crash(cluster.leader())
    await asyncio.sleep(20)


if __name__ == "__main__":
    sys.exit(run_case(HERE, BLUEMOUNT, play))
