"""Case 4: a job that can't be placed has its team's other work stopped again and again, and nothing runs any more."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target/app")]

from review.standins2.cluster import ATHINA, CaseError, Cluster, job, run_case  # noqa: E402

TEAM, LIMIT = "ergastirio-00", 24.0
# The bound of the rule.
MAX_WAIT_S = 90.0
URGENT, WAITING = "run-000201", "run-000202"
NOTICE_S, WATCH_S = 12.0, 91.5


async def watch(cluster: Cluster, until: float) -> None:
    """Check the rule for the waiting job ten times a second: it counts only what machines show."""
    spec = cluster.jobs[WAITING]
    waits_since: float | None = None
    while cluster.now < until:
        await asyncio.sleep(0.1)
        used = cluster.amount_on(TEAM, "cpus")
        room = any(one.has_room(spec) for one in cluster.workers.values() if one.answered_by)
        waits = not cluster.tasks_on(WAITING) and not cluster.is_done(WAITING) and used + spec["cpus"] <= LIMIT and room
        if not waits:
            waits_since = None
        elif waits_since is None:
            waits_since = cluster.now
            cluster.log(f"{WAITING} waits, its team uses {used} of {LIMIT} cores, and a machine has room")
        elif cluster.now - waits_since > MAX_WAIT_S:
            cluster.violate(
                "waits", f"{WAITING} waits for {cluster.now - waits_since:.1f} s; its team uses {used} of {LIMIT} cores"
            )
            return


async def play(cluster: Cluster, trouble: bool) -> None:
    """Have the cloud take back the one machine that an urgent job may use; watch another job of the same team."""
    for zone in ("athina", "patra"):
        cluster.cloud.add("megalo", zone, True)
    # Another team's long work, which keeps the machine in athina busy in part.
    await cluster.submit(
        job(200, docket="scrap-sort", crew="ergastirio-01", urgency="best_effort", pieces=4, cpus=2.0, run_s=150.0)
        | {"yard": "athina", "expected_s": 150.0, "size_gb": 0.6}
    )
    await cluster.submit(
        job(201, docket="rush-fixes", crew=TEAM, urgency="high", pieces=16, cpus=2.0, ram_gb=2.1, yard="patra")
        | {"kit": "img-02", "size_gb": 0.8, "expected_s": 25.0, "run_s": 25.0, "due_s": 120.0}
    )
    await cluster.wait_until("the urgent job runs", lambda: cluster.tasks_on(URGENT)["patra"] == 12, 15)
    await cluster.submit(
        job(202, docket="scrap-sort", crew=TEAM, urgency="best_effort", pieces=12, cpus=2.0, ram_gb=3.0)
        | {
            "kit": "img-03",
            "size_gb": 6.0,
            "expected_s": 30.0,
            "run_s": 30.0,
            "snapshot_every_s": 20.0,
            "snapshot_s": 4.0,
        }
    )
    if trouble:
        name = next(one.name for one in cluster.cloud.hosts.values() if one.yard == "patra")
        cluster.cloud.take(name)
        cluster.log(f"the cloud has taken back {name}")
    cluster.spawn(poll(cluster))
    # Time for the controllers to notice, beyond what the rule allows.
    await asyncio.sleep(NOTICE_S)
    await watch(cluster, cluster.now + WATCH_S)
    cluster.log(
        f"{WAITING}: {cluster.orders['start', WAITING]} starts and {cluster.orders['halt', WAITING]} stops ordered"
    )
    if cluster.tasks_on("run-000200")["athina"] != 4:
        raise CaseError("the machine in athina is not as planned")


async def poll(cluster: Cluster) -> None:
    """Ask for both jobs as their user does."""
    while True:
        for job_id in (URGENT, WAITING):
            await cluster.poll(job_id)
        await asyncio.sleep(5)


if __name__ == "__main__":
    sys.exit(run_case(HERE, ATHINA, play))
