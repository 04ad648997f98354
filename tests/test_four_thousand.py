"""Tests with 4,000 simulated machines: no constant in the code limits a cluster to fewer.

The tests count work instead of time. The state service enforces the request rates of the settings throughout. Limits
of sockets and CPU come from the settings and are not simulated (docs/operations.md, "4,000 machines").
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
# Calls of `fitting_tasks` per started task. A call covers all tasks of a job that fit on a machine; if it covered only
# one task, there would be thousands for each.
MAX_PLACEMENT_STEPS_PER_START = 1
# The write rate in the settings is 30 per second; the rest covers its burst and the writes of the other nodes.
MAX_CHANGES_PER_SECOND = 60


async def submit_jobs(world: World) -> list[str]:
    ids = []
    for number in range(JOBS):
        spec = job(number, pieces=TASKS, kit=f"img-{number % 7}", true_s=25.0, expected_s=25.0)
        spec["urgency"] = "high" if number % 3 == 1 else "normal"
        assert await world.submit(spec)
        ids.append(spec["name_id"])
    return ids


def test_four_thousand_machines_through_an_election_under_load_and_simultaneous_heartbeats(
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
        # The leader knows nearly every machine and is killed; all workers report to the next leader at once.
        old = world.leader
        assert old is not None and old.leader is not None
        assert len(old.leader.cluster.machines) >= 0.9 * MACHINES
        world.kill(old.node)
        killed_at = world.loop.now
        for worker in world.workers.values():
            worker.state_changed.set()
        while world.leader is None or world.leader.leader is None or not world.leader.leader.loaded:
            assert world.loop.now - killed_at < 8
            await asyncio.sleep(0.1)
        await asyncio.sleep(6)
        known = world.leader.leader.cluster.machines.values()
        reported = sum(machine.last_heartbeat_at is not None for machine in known)
        assert reported >= 0.95 * len(world.workers)
        for job_id in ids:
            assert await world.poll(job_id) is not None
        assert set((await world.wait_until_finished(ids, 150)).values()) == {"done"}

    world = day(script, machines=0, each=MACHINES)
    starts = sum(world.rules.starts.values())
    # Worker leases outlast the election, so hardly any task is started again.
    assert starts < 1.02 * len(world.rules.starts)
    assert calls["fitting_tasks"] < MAX_PLACEMENT_STEPS_PER_START * starts, calls["fitting_tasks"] / starts
    assert max(changes.values()) <= MAX_CHANGES_PER_SECOND
    assert calls["handle"] > MACHINES


def test_listen_backlog_equals_the_connection_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a fixed backlog of 512: workers reconnecting at once had to wait for TCP retries of the kernel."""
    backlogs: list[int] = []

    async def start_server_stub(*arguments: Any, backlog: int, **options: Any) -> Any:
        backlogs.append(backlog)
        raise OSError("not opened in this test")

    monkeypatch.setattr(asyncio, "start_server", start_server_stub)

    async def handle(request: Any) -> Any:
        raise AssertionError("unexpected request")

    for max_connections in (40, 5000):
        with pytest.raises(OSError, match="not opened"):
            asyncio.run(HttpServer(handle, max_connections).start("127.0.0.1", 0))
    assert backlogs == [40, 5000]
