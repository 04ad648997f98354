"""Four thousand machines in the simulated world: nothing fixed in the code ends the growth below that.

Work is counted, not timed. The state service keeps the rates of the settings throughout. Sockets and
processor share come from the settings and are not part of this world (docs/operations.md, "4,000 machines").
"""

import asyncio
from collections import Counter
from typing import Any

import pytest

from elmthread.net.http_server import HttpServer
from elmthread.placement import bin_packing
from elmthread.workers.heartbeats import HeartbeatHandler
from tests.world.counting import count_calls, count_changes
from tests.world.day import day
from tests.world.settings import ZONES
from tests.world.specs import job
from tests.world.world import World

MACHINES = 4000
JOBS = 40
TASKS = 120
# Steps of placement for each start, as most tasks of a job go along with the first; one by one it were thousands.
FITS_PER_START = 1
# The world's rate of changes, its burst, and the requests of other nodes.
CHANGES_PER_SECOND = 60


async def submit_jobs(world: World) -> list[str]:
    ids = []
    for number in range(JOBS):
        spec = job(number, pieces=TASKS, kit=f"img-{number % 7}", true_s=25.0, expected_s=25.0)
        spec["urgency"] = "high" if number % 3 == 1 else "normal"
        assert await world.submit(spec)
        ids.append(spec["name_id"])
    return ids


def test_four_thousand_machines_through_an_election_a_load_and_a_reporting_storm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: Counter[str] = Counter()
    changes: Counter[int] = Counter()
    count_calls(monkeypatch, calls, bin_packing, "fitting_tasks")
    count_calls(monkeypatch, calls, HeartbeatHandler, "handle")

    async def script(world: World) -> None:
        count_changes(world, changes)
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", ZONES[index % 2], spot=bool(index % 5))
        await asyncio.sleep(3)
        ids = await submit_jobs(world)
        await asyncio.sleep(12)
        assert len(world.rules.running) > 0.9 * JOBS * TASKS
        # Every machine is known to the leader, which ends; all report to the next one at once.
        old = world.leader
        assert old is not None and old.leader is not None
        assert len(old.leader.cluster.machines) >= 0.9 * MACHINES
        world.kill(old.node)
        ended = world.loop.now
        for worker in world.workers.values():
            worker.state_changed.set()
        while world.leader is None or world.leader.leader is None or not world.leader.leader.loaded:
            assert world.loop.now - ended < 8
            await asyncio.sleep(0.1)
        await asyncio.sleep(6)
        known = world.leader.leader.cluster.machines.values()
        heard = sum(machine.last_heartbeat_at is not None for machine in known)
        assert heard >= 0.95 * len(world.workers)
        for job_id in ids:
            assert await world.poll(job_id) is not None
        assert set((await world.wait_until_finished(ids, 150)).values()) == {"done"}

    world = day(script, machines=0, each=MACHINES)
    starts = sum(world.rules.starts.values())
    # Leases outlast the election: next to no task is started again for it.
    assert starts < 1.02 * len(world.rules.starts)
    assert calls["fitting_tasks"] < FITS_PER_START * starts, calls["fitting_tasks"] / starts
    assert max(changes.values()) <= CHANGES_PER_SECOND
    assert calls["handle"] > MACHINES


def test_as_many_connections_may_wait_to_be_taken_as_may_be_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a fixed backlog of 512, a fleet that came back at once waited for the kernel's repeats."""
    asked: list[int] = []

    async def listening(*arguments: Any, backlog: int, **named: Any) -> Any:
        asked.append(backlog)
        raise OSError("not opened in this test")

    monkeypatch.setattr(asyncio, "start_server", listening)

    async def handle(request: Any) -> Any:
        raise AssertionError("no request comes")

    for most in (40, 5000):
        with pytest.raises(OSError, match="not opened"):
            asyncio.run(HttpServer(handle, most).start("127.0.0.1", 0))
    assert asked == [40, 5000]
