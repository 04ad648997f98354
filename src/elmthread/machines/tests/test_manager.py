"""Instance requests, lists and deletions against a fake of the cloud's API."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.machine_deletion import DeletionReason
from elmthread.cluster.state import DELETED_MACHINE_RETENTION, ClusterState
from elmthread.common.clock import seconds
from elmthread.machines.client import CloudClient
from elmthread.machines.inventory import MAX_MISSED_LISTS
from elmthread.machines.manager import MachineManager
from elmthread.machines.messages import ListedMachine
from elmthread.net.http_client import ClientResponse
from elmthread.net.http_messages import Precondition
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.zone_counts import ZoneCounts
from elmthread.reachability.zone_health import ZoneHealth
from elmthread.store.machine_type import MachineType
from elmthread.store.token_bucket import TokenBucket
from elmthread.store.write_queue import WritePriority
from tests.world.loop import SimLoop, play
from tests.world.term import term_context

KIND = InstanceKind("small", "east", True)


class FakeWriter:
    """A record writer whose writes are durable at once."""

    def write(
        self,
        key: str,
        priority: WritePriority,
        make_value: Callable[[], Any],
        on_durable: Callable[[], None] | None = None,
    ) -> None:
        make_value()
        if on_durable is not None:
            on_durable()

    def delete(self, key: str) -> None:
        pass


class FakeCloud:
    def __init__(self) -> None:
        self.calls: list[tuple[float, str, Any]] = []
        self.loop = SimLoop()
        self.number = 0

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        self.calls.append((self.loop.now, path.split("?")[0], body))
        await asyncio.sleep(0.25)
        if path == "/hosts":
            first = self.number
            self.number += body["how_many"]
            return ClientResponse(200, {"looms": [f"m-{n:06d}" for n in range(first, self.number)]})
        if method == "GET" and path.startswith("/hosts"):
            return ClientResponse(200, {"looms": [], "has_next": False})
        return ClientResponse(200, {})


def machine_manager(rps: float = 2.0) -> tuple[FakeCloud, ClusterState, MachineManager]:
    cloud, cluster = FakeCloud(), ClusterState(100)
    asyncio.set_event_loop(cloud.loop)
    clock = cloud.loop.clock
    context = term_context(clock, cluster, FakeWriter())
    catalog = MachineTypeCatalog(cluster, context.events)
    catalog.replace([MachineType("small", 4.0, 0.0, 8.0, 80.0, 0.2, 0.26, 0.1, 50.0, ["east"])])
    bounds = ReachabilityBounds(seconds(2), seconds(3), seconds(17))
    zones = ZoneHealth(ZoneCounts(cluster.machines, clock, seconds(4), clock()), bounds, clock)
    client = CloudClient(cloud, TokenBucket(rps * 0.9, rps * 1.5, clock), seconds(4), lambda: True)
    manager = MachineManager(context, client, catalog, WorkerLeases(seconds(17), seconds(40)), zones)
    return cloud, cluster, manager


def add_machine(cluster: ClusterState, number: int, state: MachineState = MachineState.UP) -> Machine:
    machine = Machine(f"m-{number:06d}", KIND, state, seconds(0))
    cluster.add_machine(machine)
    return machine


def test_hundreds_of_requests_and_deletions_take_few_calls_within_the_rate() -> None:
    cloud, cluster, manager = machine_manager()

    async def main() -> None:
        manager_task = asyncio.create_task(manager.run())
        for number in range(500_000, 500_300):
            manager.delete_machine(add_machine(cluster, number), DeletionReason.NO_HEARTBEATS)
        for _ in range(40):
            manager.request_instances(KIND, 7, for_deferrable_pool=True)
        await asyncio.sleep(12)
        manager_task.cancel()

    play(main(), cloud.loop)
    deleted = [body for _, path, body in cloud.calls if path == "/hosts/delete"]
    requested = [body for _, path, body in cloud.calls if path == "/hosts" and body]
    assert [len(body["looms"]) for body in deleted] == [100, 100, 100]
    # 280 machines in requests of up to 50, each request with its own name.
    assert sum(body["how_many"] for body in requested) == 280 and len(requested) <= 7
    assert len({body["hire"] for body in requested}) == len(requested)
    for start in range(10):
        calls_in_window = [at for at, _, _ in cloud.calls if start <= at < start + 2]
        assert len(calls_in_window) <= 2 * 2.0 + 2 * 2.0
    assert len(cluster.machines) == 280 and len(cluster.deleted_machines) == 300


def test_a_lagging_list_proves_neither_that_a_machine_runs_nor_that_it_is_gone() -> None:
    cloud, cluster, manager = machine_manager()
    up, booting = add_machine(cluster, 1), add_machine(cluster, 2, MachineState.BOOTING)
    listed = ListedMachine(up.name, "small", "east", True, "running", 10.0)
    manager.inventory.reconcile([listed])
    # The list may lack new machines at first, and may be older than the previous one.
    manager.inventory.reconcile([])
    manager.inventory.reconcile([listed])
    for _ in range(MAX_MISSED_LISTS - 1):
        manager.inventory.reconcile([])
    assert up.state is MachineState.UP and booting.state is MachineState.BOOTING
    # A machine that sends heartbeats is kept, however many lists it is missing from.
    up.last_heartbeat_at = cloud.loop.clock()
    manager.inventory.reconcile([])
    assert up.state is MachineState.UP
    cloud.loop.now = 30.0
    manager.inventory.reconcile([])
    assert up.state.name == "DELETING"
    # A stale list that still names a deleted machine does not add it again.
    cluster.remove_machine(up, cloud.loop.clock())
    manager.inventory.reconcile([listed])
    assert up.name not in cluster.machines
    # Names of deleted machines are kept for a limited time.
    cluster.remove_machine(booting, cloud.loop.clock() + DELETED_MACHINE_RETENTION * 2)
    assert set(cluster.deleted_machines) == {booting.name}
    cloud.loop.close()


def test_after_a_stall_of_the_process_heartbeats_are_handled_before_machines_are_checked() -> None:
    """Heartbeats are still unread after a stall: an immediate check would delete all machines as silent."""
    cloud, cluster, manager = machine_manager()
    machines = [add_machine(cluster, number) for number in range(50)]

    def send_heartbeats(machines: list[Machine]) -> None:
        for machine in machines:
            machine.last_heartbeat_at = machine.last_response_at = cloud.loop.clock()

    async def main() -> None:
        send_heartbeats(machines)
        manager_task = asyncio.create_task(manager.run())
        await asyncio.sleep(1)
        cloud.loop.now += 27.0
        await asyncio.sleep(0.5)
        assert all(machine.state is MachineState.UP for machine in machines)
        # Heartbeats of half of them arrive, the others stay silent.
        send_heartbeats(machines[:25])
        await asyncio.sleep(3)
        manager_task.cancel()

    play(main(), cloud.loop)
    assert {machine.state for machine in machines[:25]} == {MachineState.UP}
    assert MachineState.UP not in {machine.state for machine in machines[25:]}
