"""The machines: listed, rented, given up and returned.

The cloud's list lags and can be older than the one before it, so absence from it proves
nothing. What proves that a machine and all on it are gone is the answer to its deletion;
so whatever is in doubt is deleted, and counts as there until that is answered.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any

from elmthread.cluster.state import ClusterState, Machine, MachineState
from elmthread.common.clock import ZERO, Clock, at_least, seconds
from elmthread.machines import messages
from elmthread.machines.client import MOST_DELETED, MOST_LISTED, MOST_RENTED, CloudClient, CloudError, NoCapacityError
from elmthread.reachability.census import Census
from elmthread.store.machine_type import MachineType
from elmthread.store.records import (
    RentalRecord,
    machine_key,
    rental_key,
    types_records,
)
from elmthread.store.writer import RecordWriter, WritePriority

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
FEW_SILENT = 0.1
# A machine whose reports have shown for this many leases that our answers don't arrive is returned.
DEAF = 3
# A zone in which this many machines, and this part of all, are silent seems to be cut off. Its
# machines may be back sooner than others would boot, and new ones there could not report either:
# for so long nothing there is given up for its silence, and nothing is rented there.
CUT_LEAST = 4
CUT_PART = 0.8
CUT_KEPT = seconds(90)
# A machine that has not come up after this many times its usual boot time is given up.
BOOTS = 2.5
BOOT_SLACK = seconds(10)


@dataclass(frozen=True)
class InstanceKind:
    machine_type: str
    zone: str
    spot: bool


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
        cluster: ClusterState,
        cloud: CloudClient,
        writer: RecordWriter,
        clock: Clock,
        lag: timedelta,
        lease: timedelta,
        unsure_until: timedelta,
        leads: Callable[[], bool],
        next_name: Callable[[], str],
        changed: Callable[[], None],
        lacking: Callable[[], None],
        census: Census,
        in_doubt: Callable[[str], bool],
    ) -> None:
        """`in_doubt` says whether the silence of a zone's machines may be a fault of this node's own link."""
        self._census = census
        self._in_doubt = in_doubt
        self._cluster = cluster
        self._cloud = cloud
        self._writer = writer
        self._clock = clock
        self._lag = lag
        self._lease = lease
        self._unsure_until = unsure_until
        self._leads = leads
        self._next_name = next_name
        self._changed = changed
        self._lacking = lacking
        self.machine_types: dict[str, MachineType] = {}
        self.instance_requests: dict[str, InstanceRequest] = {}
        self._ready: deque[InstanceRequest] = deque()
        self._refused: dict[InstanceKind, tuple[timedelta, timedelta]] = {}
        self._missing: dict[str, int] = {}
        self._deleting: set[str] = set()
        self._listed_at: timedelta | None = None
        self._judged_at: timedelta | None = None
        self._types_at: timedelta | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut: frozenset[str] = frozenset()
        # Hardly any machine is silent, so one that is has failed by itself.
        self._few_silent = True

    # Machine types

    def set_machine_types(self, types: list[MachineType]) -> None:
        self.machine_types = {kind.name: kind for kind in types}
        for machine in self._cluster.machines.values():
            self.apply_machine_type(machine)
        self._changed()

    def apply_machine_type(self, machine: Machine) -> None:
        kind = self.machine_types.get(machine.machine_type)
        if kind is not None:
            machine.cpus, machine.gpus, machine.memory_gb = kind.cpus, kind.gpus, kind.memory_gb
            machine.image_fetch_rate = max(kind.fetch_gb_per_s, 0.001)
            machine.price_per_hour = kind.spot_price if machine.spot else kind.price

    # The loop: one call to the cloud at a time is started each tick, the most pressing first

    async def run(self) -> None:
        last = self._clock()
        while True:
            now = self._clock()
            if now - last > STOOD_STILL:
                log.info("stood still for %.1f s", (now - last).total_seconds())
                self._judged_at = now + HEARING
            last = now
            if self._leads():
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
        if not self.machine_types and self._due(self._types_at, seconds(2)) and calls.take():
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
        if self.machine_types and self._due(self._types_at, TYPES_EVERY) and calls.take(1, 1):
            self._types_at = now
            self._spawn(self._learn_types())

    def _list_every(self) -> timedelta:
        pages = 1 + len(self._cluster.machines) // MOST_LISTED
        return max(self._lag / 2, seconds(3 * pages / self._cloud.calls.rate))

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
        fresh = not self.machine_types
        self.set_machine_types(types)
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
        if self._leads():
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
                silent = machine.last_heartbeat_at is None or now - machine.last_heartbeat_at > self._lag * 2
                if count >= MISSING and silent:
                    self.delete_machine(machine, "no longer listed")

    def _adopt(self, listed: messages.Listed, now: timedelta) -> Machine:
        state = MachineState.BOOTING if listed.state == "starting" else MachineState.UNCONFIRMED
        machine = Machine(listed.name, listed.machine_type, listed.zone, listed.spot, state, now)
        machine.first_seen_at = now - seconds(listed.age_s)
        self.apply_machine_type(machine)
        self._cluster.add_machine(machine)
        log.info("%s is in the list", machine.name)
        return machine

    # Rentals

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
        order = InstanceRequest(self._next_name(), kind, count, pool, self._clock())
        self.instance_requests[order.name] = order
        record = RentalRecord(kind.machine_type, kind.zone, kind.spot, pool)
        log.info("renting %s %s", count, kind)
        self._writer.write(
            rental_key(order.name), WritePriority.ASSIGNMENT, lambda: record, lambda: self._ready.append(order)
        )

    def is_unavailable(self, kind: InstanceKind) -> bool:
        if kind.zone in self._cut or self._in_doubt(kind.zone):
            return True
        until = self._refused.get(kind)
        return until is not None and self._clock() < until[0]

    async def _rent(self, order: InstanceRequest) -> None:
        if not self._leads():
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
                machine = Machine(name, kind.machine_type, kind.zone, kind.spot, MachineState.BOOTING, now)
                self.apply_machine_type(machine)
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
        self._lacking()

    def _over(self, order: InstanceRequest) -> None:
        self.instance_requests.pop(order.name, None)
        self._writer.delete(rental_key(order.name))
        self._changed()

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
        self._changed()

    def _judge(self) -> None:
        """Each machine's silence, notice and health, against what it may still hold."""
        now = self._clock()
        self._find_cut()
        quiet_after = self._lease * QUIET
        for machine in list(self._cluster.machines.values()):
            machine.zone_unreachable = machine.zone in self._cut
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
            kept = CUT_KEPT if machine.zone_unreachable or self._in_doubt(machine.zone) else ZERO
            if machine.state is MachineState.BOOTING:
                kind = self.machine_types.get(machine.machine_type)
                bound = seconds(kind.boot_s) * BOOTS + BOOT_SLACK if kind else seconds(300)
                if now - machine.first_seen_at > bound + kept:
                    self.delete_machine(machine, "has not come up")
                continue
            machine.heartbeat_overdue = self._silence(machine, now) > quiet_after
            self._expire(machine, now)
            if machine.interruption_at is not None and now >= machine.interruption_at - TAKEN:
                self.delete_machine(machine, "taken back")
            elif machine.responses_lost_since is not None and now - machine.responses_lost_since > self._lease * DEAF:
                self.delete_machine(machine, "our answers do not reach it")
            elif machine.quarantined and not machine.allocations:
                self.delete_machine(machine, "fails tasks")
            elif self._silence(machine, now) > self._lease + self._lag * 2 + kept:
                self.delete_machine(machine, "silent")
            elif (
                machine.service_cpus > 0
                and not kept
                and self._few_silent
                and machine.state is MachineState.UP
                and self._silence(machine, now) > self._lease * LIKELY_DEAD
            ):
                self.delete_machine(machine, "silent, and its replicas are to return")

    def _find_cut(self) -> None:
        total = self._census.total()
        self._few_silent = total.silent <= max(1, FEW_SILENT * total.expected)
        cut = frozenset(
            zone
            for zone, count in self._census.zones().items()
            if count.silent >= CUT_LEAST and count.silent > CUT_PART * count.expected
        )
        if cut != self._cut:
            log.info("zones that seem to be cut off: %s", ", ".join(sorted(cut)) or "none")
            self._cut = cut
            self._changed()

    def _silence(self, machine: Machine, now: timedelta) -> timedelta:
        last = machine.last_heartbeat_at
        if last is None:
            last = self._unsure_until - self._lease
        return now - last

    def lease_expires_by(self, machine: Machine) -> timedelta:
        """When the machine's lease has surely run out, if no answer reaches it from now on.

        An earlier leader may have answered it for as long as it might hold, so a machine that
        has not reported to this one is counted from there.
        """
        if machine.last_response_at is None:
            return self._unsure_until
        until = machine.last_response_at + at_least(self._lease) + seconds(0.5)
        return max(until, self._unsure_until) if machine.state is MachineState.UNCONFIRMED else until

    def _expire(self, machine: Machine, now: timedelta) -> None:
        """Releases the allocations of a machine whose lease has surely run out."""
        if machine.allocations and now > self.lease_expires_by(machine):
            log.info("the lease of %s has run out", machine.name)
            machine.expired_incarnation = machine.last_heartbeat_id[0]
            self._cluster.release_all(machine, now)
            self._changed()
