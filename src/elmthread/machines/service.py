"""The machines: listed, rented, given up and returned.

The cloud's list lags and can be older than the one before it, so absence from it proves
nothing. What proves that a machine and all on it are gone is the answer to its deletion;
so whatever is in doubt is deleted, and counts as there until that is answered.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.common.clock import ZERO, seconds
from elmthread.leadership.context import TermContext
from elmthread.machines import messages
from elmthread.machines.client import MOST_DELETED, MOST_LISTED, MOST_RENTED, CloudClient, CloudError, NoCapacityError
from elmthread.reachability.zone_health import ZoneHealth
from elmthread.store.records import (
    RentalRecord,
    machine_key,
    rental_key,
    types_records,
)
from elmthread.store.writer import WritePriority

log = logging.getLogger(__name__)

TICK = seconds(0.2)
JUDGE_EVERY = seconds(0.5)
# A process that has stood still for this long has reports waiting that it has not read: before
# machines are judged by their silence, what they said is heard.
STOOD_STILL = seconds(1.5)
HEARING = seconds(1)
# A machine that will be taken is deleted this long before: by then all on it has been saved.
TAKEN = seconds(1)
TYPES_EVERY = seconds(60)
# A type, zone and kind that was refused is not asked for again so soon.
REFUSED = seconds(40)
REFUSED_MOST = seconds(160)
# A listed machine that many good lists in a row leave out is deleted to be sure.
MISSING = 3
# A machine silent for this part of its lease has missed reports and gets nothing new.
QUIET = 0.4
# A machine that is silent for this part of its lease while hardly any others are is most likely
# dead. Where it holds replicas it is deleted, as the answer proves that they are gone: they return
# sooner than the lease alone would let them, which outweighs that some machines only hang.
LIKELY_DEAD = 0.6
# A machine whose reports have shown for this many leases that our answers don't arrive is returned.
DEAF = 3
# Machines of a zone that seems to be cut off may be back sooner than others would boot, and new ones
# there could not report either: for so long nothing there is given up for its silence, and nothing
# is rented there.
CUT_KEPT = seconds(90)
# A machine that has not come up after this many times its usual boot time is given up.
BOOTS = 2.5
BOOT_SLACK = seconds(10)


@dataclass(slots=True)
class InstanceRequest:
    """A rental on its way: its machines count as coming."""

    name: str
    kind: InstanceKind
    count: int
    for_deferrable_pool: bool
    requested_at: timedelta
    sent: bool = False


class MachineManager:
    def __init__(
        self,
        context: TermContext,
        cloud: CloudClient,
        catalog: MachineTypeCatalog,
        leases: WorkerLeases,
        zones: ZoneHealth,
    ) -> None:
        """`zones` tells which zones are out of sight: nothing there is given up for its silence."""
        self._zones = zones
        self._events = context.events
        self._cluster = context.cluster
        self._cloud = cloud
        self._writer = context.writer
        self._clock = context.clock
        self._term = context.term
        self.catalog = catalog
        self._leases = leases
        self._requests_made = 0
        self.instance_requests: dict[str, InstanceRequest] = {}
        self._ready: deque[InstanceRequest] = deque()
        self._refused: dict[InstanceKind, tuple[timedelta, timedelta]] = {}
        self._missing: dict[str, int] = {}
        self._deleting: set[str] = set()
        self._listed_at: timedelta | None = None
        self._judged_at: timedelta | None = None
        self._types_at: timedelta | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    # The loop: one call to the cloud at a time is started each tick, the most pressing first

    async def run(self) -> None:
        last = self._clock()
        while True:
            now = self._clock()
            if now - last > STOOD_STILL:
                log.info("stood still for %.1f s", (now - last).total_seconds())
                self._judged_at = now + HEARING
            last = now
            if self._term.holds_lease():
                if self._due(self._judged_at, JUDGE_EVERY):
                    self._judged_at = self._clock()
                    self._judge()
                self._start_calls()
            await asyncio.sleep(TICK.total_seconds())

    def _start_calls(self) -> None:
        now = self._clock()
        calls = self._cloud.calls
        doomed = [
            machine.name
            for machine in self._cluster.machines.values()
            if machine.state is MachineState.DELETING and machine.name not in self._deleting
        ][:MOST_DELETED]
        if not self.catalog.types and self._due(self._types_at, seconds(2)) and calls.take():
            self._types_at = now
            self._spawn(self._learn_types())
        if doomed and calls.take():
            self._deleting.update(doomed)
            self._spawn(self._delete(doomed))
        # Deletions and rentals leave room for a list now and then.
        if self._due(self._listed_at, self._list_every()) and calls.take():
            self._listed_at = now
            self._spawn(self._list())
        while self._ready and calls.take():
            self._spawn(self._rent(self._ready.popleft()))
        if self.catalog.types and self._due(self._types_at, TYPES_EVERY) and calls.take(1, 1):
            self._types_at = now
            self._spawn(self._learn_types())

    def _list_every(self) -> timedelta:
        pages = 1 + len(self._cluster.machines) // MOST_LISTED
        return max(self._cloud.list_lag / 2, seconds(3 * pages / self._cloud.calls.rate))

    def _due(self, last: timedelta | None, every: timedelta) -> bool:
        return last is None or self._clock() - last >= every

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    async def _learn_types(self) -> None:
        try:
            types = await self._cloud.types()
        except (CloudError, NoCapacityError) as error:
            log.info("types: %s", error)
            return
        fresh = not self.catalog.types
        self.catalog.replace(types)
        if fresh:
            for key, some in types_records(types, self._writer.max_record_bytes).items():
                self._writer.write(key, WritePriority.ASSIGNMENT, partial(list, some))

    # Lists

    async def _list(self) -> None:
        machines: list[messages.Listed] = []
        after = None
        try:
            while True:
                page = await self._cloud.page(after)
                machines += page.machines
                if not page.more or not page.machines:
                    break
                after = page.machines[-1].name
                while not self._cloud.calls.take():
                    await asyncio.sleep(self._cloud.calls.wait().total_seconds())
        except (CloudError, NoCapacityError) as error:
            log.info("list: %s", error)
            return
        if self._term.holds_lease():
            self.reconcile_with_list(machines)

    def reconcile_with_list(self, machines: list[messages.Listed]) -> None:
        now = self._clock()
        names = set()
        for listed in machines:
            names.add(listed.name)
            if listed.name in self._cluster.deleted_machines:
                continue
            machine = self._cluster.machines.get(listed.name)
            if machine is None:
                machine = self._adopt(listed, now)
            machine.was_listed = True
            self._missing.pop(listed.name, None)
            if listed.state == "failed":
                # Stopped on its own. When it stopped is not known; the deletion's answer is proof.
                self.delete_machine(machine, "listed as failed")
        for machine in list(self._cluster.machines.values()):
            if machine.was_listed and machine.name not in names:
                count = self._missing[machine.name] = self._missing.get(machine.name, 0) + 1
                silent = machine.last_heartbeat_at is None or now - machine.last_heartbeat_at > self._cloud.list_lag * 2
                if count >= MISSING and silent:
                    self.delete_machine(machine, "no longer listed")

    def _adopt(self, listed: messages.Listed, now: timedelta) -> Machine:
        state = MachineState.BOOTING if listed.state == "starting" else MachineState.UNCONFIRMED
        machine = Machine(listed.name, InstanceKind(listed.machine_type, listed.zone, listed.spot), state, now)
        machine.first_seen_at = now - seconds(listed.age_s)
        self.catalog.apply_to(machine)
        self._cluster.add_machine(machine)
        log.info("%s is in the list", machine.name)
        return machine

    # Rentals

    def _next_request_name(self) -> str:
        self._requests_made += 1
        return f"r-{self._term.fencing_token}-{self._requests_made}"

    def request_instances(self, kind: InstanceKind, count: int, pool: bool) -> None:
        """Rents machines: the request's name is durable before it is sent, and never used again."""
        for waiting in self._ready:
            # What has not been sent yet takes more of its kind along: calls are few.
            if waiting.kind == kind and waiting.for_deferrable_pool == pool and not waiting.sent:
                more = min(count, MOST_RENTED - waiting.count)
                waiting.count += more
                count -= more
        while count > MOST_RENTED:
            self.request_instances(kind, MOST_RENTED, pool)
            count -= MOST_RENTED
        if count <= 0:
            return
        order = InstanceRequest(self._next_request_name(), kind, count, pool, self._clock())
        self.instance_requests[order.name] = order
        record = RentalRecord(kind.machine_type, kind.zone, kind.spot, pool)
        log.info("renting %s %s", count, kind)
        self._writer.write(
            rental_key(order.name), WritePriority.ASSIGNMENT, lambda: record, lambda: self._ready.append(order)
        )

    def is_unavailable(self, kind: InstanceKind) -> bool:
        if kind.zone in self._zones.unreachable or self._zones.is_in_doubt(kind.zone):
            return True
        until = self._refused.get(kind)
        return until is not None and self._clock() < until[0]

    async def _rent(self, order: InstanceRequest) -> None:
        if not self._term.holds_lease():
            return
        kind = order.kind
        order.sent = True
        try:
            names = await self._cloud.rent(order.name, kind.machine_type, kind.zone, kind.spot, order.count)
        except NoCapacityError:
            self._over(order)
            self._refuse(kind)
            return
        except CloudError as error:
            log.info("rental: %s", error)
            if self._clock() - order.requested_at < seconds(20):
                # The same name again: if it was carried out, the answer is the same.
                self._ready.append(order)
            else:
                self._over(order)
            return
        now = self._clock()
        for name in names:
            if name in self._cluster.deleted_machines:
                continue
            machine = self._cluster.machines.get(name)
            if machine is None:
                machine = Machine(name, kind, MachineState.BOOTING, now)
                self.catalog.apply_to(machine)
                self._cluster.add_machine(machine)
            machine.in_deferrable_pool = order.for_deferrable_pool
        self._over(order)
        if len(names) < order.count:
            self._refuse(kind)
        else:
            self._refused.pop(kind, None)

    def _refuse(self, kind: InstanceKind) -> None:
        _, pause = self._refused.get(kind, (None, REFUSED / 2))
        pause = min(pause * 2, REFUSED_MOST)
        log.info("no capacity for %s", kind)
        self._refused[kind] = (self._clock() + pause, pause)
        # What waits to be sent for the same would only be refused as well.
        for order in [order for order in self._ready if order.kind == kind and not order.sent]:
            self._ready.remove(order)
            self._over(order)
        # Asked elsewhere at once: the next check would only find the same shortfall later.
        self._events.notify_capacity_short()

    def _over(self, order: InstanceRequest) -> None:
        self.instance_requests.pop(order.name, None)
        self._writer.delete(rental_key(order.name))
        self._events.notify_changed()

    # Ends

    def delete_machine(self, machine: Machine, why: str) -> None:
        if machine.state in (MachineState.DELETING, MachineState.DELETED):
            return
        log.info("%s is deleted: %s", machine.name, why)
        machine.transition_to(MachineState.DELETING)

    async def _delete(self, names: list[str]) -> None:
        try:
            await self._cloud.delete(names)
        except (CloudError, NoCapacityError) as error:
            log.info("deletion: %s", error)
            return
        finally:
            self._deleting.difference_update(names)
        now = self._clock()
        for name in names:
            machine = self._cluster.machines.get(name)
            if machine is None:
                continue
            machine.transition_to(MachineState.DELETED)
            self._cluster.remove_machine(machine, now)
            self._refused.pop(InstanceKind(machine.machine_type, machine.zone, machine.spot), None)
            self._missing.pop(name, None)
            self._writer.delete(machine_key(name))
        self._events.notify_changed()

    def _judge(self) -> None:
        """Each machine's silence, notice and health, against what it may still hold."""
        now = self._clock()
        if self._zones.find_unreachable():
            self._events.notify_changed()
        quiet_after = self._leases.duration * QUIET
        for machine in list(self._cluster.machines.values()):
            machine.zone_unreachable = machine.zone in self._zones.unreachable
            if (
                machine.state is MachineState.UP
                and machine.last_heartbeat_at is not None
                and now - machine.last_heartbeat_at <= quiet_after
                and machine.interruption_at is None
                and machine.responses_lost_since is None
                and not machine.quarantined
            ):
                # Heard of late, and nothing is wrong with it: most machines, most of the time.
                machine.heartbeat_overdue = False
                continue
            if machine.state is MachineState.DELETING:
                self._expire(machine, now)
                continue
            kept = CUT_KEPT if machine.zone_unreachable or self._zones.is_in_doubt(machine.zone) else ZERO
            if machine.state is MachineState.BOOTING:
                kind = self.catalog.types.get(machine.machine_type)
                bound = seconds(kind.boot_s) * BOOTS + BOOT_SLACK if kind else seconds(300)
                if now - machine.first_seen_at > bound + kept:
                    self.delete_machine(machine, "has not come up")
                continue
            machine.heartbeat_overdue = self._leases.silence(machine, now) > quiet_after
            self._expire(machine, now)
            if machine.interruption_at is not None and now >= machine.interruption_at - TAKEN:
                self.delete_machine(machine, "taken back")
            elif (
                machine.responses_lost_since is not None
                and now - machine.responses_lost_since > self._leases.duration * DEAF
            ):
                self.delete_machine(machine, "our answers do not reach it")
            elif machine.quarantined and not machine.allocations:
                self.delete_machine(machine, "fails tasks")
            elif self._leases.silence(machine, now) > self._leases.duration + self._cloud.list_lag * 2 + kept:
                self.delete_machine(machine, "silent")
            elif (
                machine.service_cpus > 0
                and not kept
                and self._zones.silence_is_rare
                and machine.state is MachineState.UP
                and self._leases.silence(machine, now) > self._leases.duration * LIKELY_DEAD
            ):
                self.delete_machine(machine, "silent, and its replicas are to return")

    def _expire(self, machine: Machine, now: timedelta) -> None:
        """Releases the allocations of a machine whose lease has surely run out."""
        if machine.allocations and now > self._leases.expires_by(machine):
            log.info("the lease of %s has run out", machine.name)
            machine.expired_incarnation = machine.last_heartbeat_id[0]
            self._cluster.release_all(machine, now)
            self._events.notify_changed()
