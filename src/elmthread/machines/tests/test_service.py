"""Rentals, lists and returns on a view, without a cloud."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import REMEMBERED, InstanceKind, Machine, MachineState
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import seconds
from elmthread.machines.client import CloudClient
from elmthread.machines.messages import Listed
from elmthread.machines.service import MISSING, MachineManager
from elmthread.net.http import Answer
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.zone_counts import ZoneCounts
from elmthread.reachability.zone_health import ZoneHealth
from elmthread.store.machine_type import MachineType
from elmthread.store.pacing import TokenBucket
from elmthread.store.writer import WritePriority
from tests.world.loop import SimLoop, play
from tests.world.term import term_context

KIND = InstanceKind("small", "east", True)


class Store:
    """A writer that is durable at once."""

    def write(
        self, key: str, rank: WritePriority, make: Callable[[], Any], after: Callable[[], None] | None = None
    ) -> None:
        make()
        if after is not None:
            after()

    def delete(self, key: str) -> None:
        pass


class Cloud:
    def __init__(self) -> None:
        self.calls: list[tuple[float, str, Any]] = []
        self.loop = SimLoop()
        self.number = 0

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, sure: Callable[[], bool] | None = None
    ) -> Answer:
        self.calls.append((self.loop.now, path.split("?")[0], body))
        await asyncio.sleep(0.25)
        if path == "/hosts":
            first = self.number
            self.number += body["how_many"]
            return Answer(200, {"looms": [f"m-{n:06d}" for n in range(first, self.number)]})
        if method == "GET" and path.startswith("/hosts"):
            return Answer(200, {"looms": [], "has_next": False})
        return Answer(200, {})


def fleet(rps: float = 2.0) -> tuple[Cloud, ClusterState, MachineManager]:
    cloud, cluster = Cloud(), ClusterState(100)
    asyncio.set_event_loop(cloud.loop)
    clock = cloud.loop.clock
    context = term_context(clock, cluster, Store())
    catalog = MachineTypeCatalog(cluster, context.events)
    catalog.replace([MachineType("small", 4.0, 0.0, 8.0, 80.0, 0.2, 0.26, 0.1, 50.0, ["east"])])
    bounds = ReachabilityBounds(seconds(2), seconds(3), seconds(17))
    zones = ZoneHealth(ZoneCounts(cluster.machines, clock, seconds(4), clock()), bounds, clock)
    client = CloudClient(cloud, TokenBucket(rps * 0.9, rps * 1.5, clock), seconds(4), lambda: True)
    one = MachineManager(context, client, catalog, WorkerLeases(seconds(17), seconds(40)), zones)
    return cloud, cluster, one


def machine(cluster: ClusterState, number: int, state: MachineState = MachineState.UP) -> Machine:
    one = Machine(f"m-{number:06d}", KIND, state, seconds(0))
    cluster.add_machine(one)
    return one


def test_hundreds_of_rentals_and_deletions_take_few_calls_within_the_rate() -> None:
    cloud, cluster, one = fleet()

    async def main() -> None:
        running = asyncio.create_task(one.run())
        for number in range(500_000, 500_300):
            one.delete_machine(machine(cluster, number), "silent")
        for _ in range(40):
            one.request_instances(KIND, 7, pool=True)
        await asyncio.sleep(12)
        running.cancel()

    play(main(), cloud.loop)
    deleted = [body for _, path, body in cloud.calls if path == "/hosts/delete"]
    rented = [body for _, path, body in cloud.calls if path == "/hosts" and body]
    assert [len(body["looms"]) for body in deleted] == [100, 100, 100]
    # 280 machines in requests of up to 50, each name once.
    assert sum(body["how_many"] for body in rented) == 280 and len(rented) <= 7
    assert len({body["hire"] for body in rented}) == len(rented)
    for start in range(10):
        within = [at for at, _, _ in cloud.calls if start <= at < start + 2]
        assert len(within) <= 2 * 2.0 + 2 * 2.0
    assert len(cluster.machines) == 280 and len(cluster.deleted_machines) == 300


def test_lists_that_lag_prove_neither_life_nor_death() -> None:
    cloud, cluster, one = fleet()
    up, booting = machine(cluster, 1), machine(cluster, 2, MachineState.BOOTING)
    seen = Listed(up.name, "small", "east", True, "running", 10.0)
    one.reconcile_with_list([seen])
    # New ones are missing at first, and an older list may follow a newer one.
    one.reconcile_with_list([])
    one.reconcile_with_list([seen])
    for _ in range(MISSING - 1):
        one.reconcile_with_list([])
    assert up.state is MachineState.UP and booting.state is MachineState.BOOTING
    # Left out again and again while it reports: it lives.
    up.last_heartbeat_at = cloud.loop.clock()
    one.reconcile_with_list([])
    assert up.state is MachineState.UP
    cloud.loop.now = 30.0
    one.reconcile_with_list([])
    assert up.state.name == "DELETING"
    # One that was deleted is no news when a late list still names it.
    cluster.remove_machine(up, cloud.loop.clock())
    one.reconcile_with_list([seen])
    assert up.name not in cluster.machines
    # Names are not kept for ever.
    cluster.remove_machine(booting, cloud.loop.clock() + REMEMBERED * 2)
    assert set(cluster.deleted_machines) == {booting.name}
    cloud.loop.close()


def test_after_a_standstill_machines_are_heard_before_they_are_judged() -> None:
    """Their reports wait unread; judged at once, a whole fleet would be taken for silent."""
    cloud, cluster, one = fleet()
    some = [machine(cluster, number) for number in range(50)]

    def report() -> None:
        for up in some:
            up.last_heartbeat_at = up.last_response_at = cloud.loop.clock()

    async def main() -> None:
        report()
        running = asyncio.create_task(one.run())
        await asyncio.sleep(1)
        cloud.loop.now += 27.0
        await asyncio.sleep(0.5)
        assert all(up.state is MachineState.UP for up in some)
        # Half of them are heard, the others stay silent.
        for up in some[:25]:
            up.last_heartbeat_at = up.last_response_at = cloud.loop.clock()
        await asyncio.sleep(3)
        running.cancel()

    play(main(), cloud.loop)
    assert {up.state for up in some[:25]} == {MachineState.UP}
    assert MachineState.UP not in {up.state for up in some[25:]}
