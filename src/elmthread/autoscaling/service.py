"""Carries out the sizing decisions: rents for late groups and the band, returns what is idle."""

import logging
import math
from collections import Counter, deque
from dataclasses import replace
from datetime import timedelta
from typing import Any

from elmthread.autoscaling.decide import Band, Group, Offer, Supply, band, dear, fewest, refill
from elmthread.autoscaling.services import Trend, machines_for, reserve, unplaced
from elmthread.cluster.allocation import Allocation, StopMode
from elmthread.cluster.job import Job
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.machines.service import MachineManager
from elmthread.placement.bin_packing import is_allowed
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest
from elmthread.placement.scheduler import Scheduler
from elmthread.settings.operators import Operators

log = logging.getLogger(__name__)

# Deadlines within this of one another form one group.
GROUP = 20.0
# A group is to end within this part of its time: estimates are rough, and starts take a moment.
MARGIN = 0.6
# What can't be saved any more is to end within this many times the soonest possible.
SECOND_CHANCE = 1.5
# Cores kept over what work needs: room left over in pieces is of no use.
SLACK = 1.1
# Tasks are moved off machines that cost this many times the cheapest one a core, once they
# have run for long enough that the move is worth its cost.
DEAR = 1.4
SETTLED = seconds(30)
# How long a machine that is not needed is kept for the sake of replicas that others could take.
STAYED = seconds(600)
# Boots take up to half again as long as the cloud says.
BOOT = 1.2
# Urgent demand is remembered for this long to track theta.
MEMORY = seconds(300)
IDLE = seconds(10)
# Machines rented in one round; a request takes up to 50 of a kind.
MOST_AT_ONCE = 500


class Autoscaler:
    def __init__(
        self,
        context: TermContext,
        machines: MachineManager,
        scheduler: Scheduler,
        run_times: RunTimeModel,
        operators: Operators,
    ) -> None:
        """`machines` carries out what is decided; `scheduler` says what waits for room."""
        self._cluster = context.cluster
        self._clock = context.clock
        self._machines = machines
        self._catalog = machines.catalog
        self._scheduler = scheduler
        self._run_times = run_times
        self._operators = operators
        self._demand: deque[tuple[timedelta, float]] = deque()
        self.theta = operators.theta
        self._services = Trend()
        self._services_run = False
        # Within one round: machines that serve, by kind; what a task takes, by job; what is held, by
        # machine. Groups share machines.
        self._serving: dict[tuple[str, str, bool], list[Machine]] = {}
        self._whole: dict[str, float] = {}
        self._held: dict[str, tuple[float, float]] = {}

    def run_round(self) -> None:
        if not self._catalog.types:
            return
        now = self._clock()
        self._whole.clear()
        self._held.clear()
        self._serving.clear()
        for machine in self._cluster.machines.values():
            if machine.provides_capacity(now):
                self._serving.setdefault((machine.machine_type, machine.zone, machine.spot), []).append(machine)
        requests = self._scheduler.requests(now)
        remaining_quotas = self._scheduler.remaining_quotas()
        self._for_services(requests, now)
        self._for_groups(requests, remaining_quotas, now)
        urgent = self._urgent(requests, remaining_quotas)
        self._for_band(requests, urgent, now)
        self._fade(requests, remaining_quotas, urgent, now)

    # Services

    def _for_services(self, requests: list[TaskRequest], now: timedelta) -> None:
        """Replicas get machines that they may use: what fits nowhere, and a band of their own.

        An exception to the design, whose band counts cores of every kind: replicas that may
        use no spot machine, or no more than half of them in one zone, wait beside any number
        of cores of the wrong kind.
        """
        daemons = [job for job in self._cluster.open_jobs.values() if job.is_service]
        self._services_run = bool(daemons)
        if not daemons:
            self._services.growth(now, 0.0)
            for machine in self._cluster.machines.values():
                machine.reserved = False
            return
        # A service that fails wherever it is tried would avoid, and so rent, machine after machine.
        waiting = [
            replace(request, excluded_machines=()) if job.backoff else request
            for request in requests
            if (job := self._cluster.jobs[request.job_id]).is_service
        ]
        remaining_quotas = self._scheduler.remaining_quotas()
        # One more like the largest there is must find room at once, spread as it may have to be.
        largest = max(daemons, key=lambda job: (not job.spec.spot, job.task_count * job.spec.cpus))
        next_one = replace(
            self._scheduler.request_of(largest),
            count=largest.task_count,
            tasks_by_zone={},
            tasks_by_machine={},
            excluded_machines=(),
        )
        left = unplaced([*waiting, next_one], self._soon_room([*waiting, next_one], now), remaining_quotas)
        if left:
            self._order(machines_for(left, self._offers(left), remaining_quotas, MOST_AT_ONCE), pool=False)
        # The band, over the machines of the kind that the most demanding of them may use.
        demanding = [job for job in daemons if not job.spec.spot]
        firm = [m for m in self._cluster.machines.values() if not m.spot and m.provides_capacity(now)]
        for_replicas = sum(m.cpus - (m.urgent_cpus - m.service_cpus) for m in firm)
        for_replicas += sum(
            kind.cpus * order.count
            for order in self._machines.instance_requests.values()
            if not order.kind.spot and (kind := self._catalog.types.get(order.kind.machine_type)) is not None
        )
        booked = sum(m.service_cpus for m in firm)
        booked += _usable([request for request in waiting if not request.spot], self._scheduler.remaining_quotas())
        theta, delta = self._operators.theta, self._operators.delta
        # What will be booked by the time a machine rented now is up.
        boot = seconds(max(kind.boot_s for kind in self._catalog.types.values()) * BOOT) + self._operators.check
        soon = booked + self._services.growth(now, booked) * boot.total_seconds()
        if demanding and (band(booked, for_replicas, theta, delta) is Band.RENT or soon > for_replicas):
            offers = self._offers([self._scheduler.request_of(job) for job in demanding])
            self._order(refill(offers, max(booked / theta, soon) - for_replicas, MOST_AT_ONCE), pool=False)
        # Those that hold replicas stay in any case, so their room comes first, then the cheapest.
        firm.sort(key=lambda m: (-m.service_cpus, m.price_per_core, m.name))
        needed = max(booked / max(theta - delta, 0.05), soon, booked + largest.task_count * largest.spec.cpus) - booked
        kept = reserve(((m.name, m.zone, m.cpus - m.urgent_cpus) for m in firm), needed if demanding else 0.0)
        for machine in self._cluster.machines.values():
            machine.reserved = machine.name in kept

    def _soon_room(self, waiting: list[TaskRequest], now: timedelta) -> list[FreeCapacity]:
        """Room that replicas have, or get once deferrable work has given way or machines are up."""
        slots = []
        for m in self._cluster.machines.values():
            if not m.provides_capacity(now) or not any(
                is_allowed(request, m.machine_type, m.zone, m.spot) for request in waiting
            ):
                continue
            firm_part = m.urgent_cpus / m.cpus_used if m.cpus_used else 0.0
            slots.append(
                FreeCapacity(
                    m.name,
                    m.machine_type,
                    m.zone,
                    m.spot,
                    m.cpus - m.urgent_cpus,
                    m.gpus - m.gpus_used * firm_part,
                    m.memory_gb - m.memory_gb_used * firm_part,
                )
            )
        for order in self._machines.instance_requests.values():
            kind = self._catalog.types.get(order.kind.machine_type)
            if kind is not None:
                where = (order.kind.machine_type, order.kind.zone, order.kind.spot)
                slots += [
                    FreeCapacity(f"{order.name}+{number}", *where, kind.cpus, kind.gpus, kind.memory_gb)
                    for number in range(order.count)
                ]
        return slots

    # Deferrable pressure

    def _for_groups(
        self, requests: list[TaskRequest], remaining_quotas: dict[str, RemainingQuota], now: timedelta
    ) -> None:
        self._return_pool(requests, now)
        # Cores count only for work that may use them: jobs are judged together with those
        # that allow the same machines. Otherwise cores of the wrong kind, or in pieces too
        # small for a task, would make a group look on time that can't start at all.
        kinds: dict[tuple[Any, ...], list[TaskRequest]] = {}
        for request in requests:
            kinds.setdefault(
                (request.machine_types, request.zone, request.spot, request.cpus, request.gpus), []
            ).append(request)
        alike: dict[tuple[Any, ...], list[TaskRequest]] = {}
        first: list[tuple[set[str], list[TaskRequest]]] = []
        for group in kinds.values():
            places = self._places(group[0])
            # Urgent work is the band's, unless nothing there is could take it at all; but it
            # goes ahead of what is judged here.
            # Replicas have room made for them apart, and no deadline to be judged by.
            waiting = [
                request
                for request in group
                if not self._cluster.jobs[request.job_id].is_service and (not request.urgent or not places)
            ]
            if waiting:
                alike.setdefault(places, []).extend(waiting)
            if places:
                first.append((set(places), [request for request in group if request.urgent]))
        for places, together in alike.items():
            here = set(places)
            urgent = [request for others, requests in first if not here.isdisjoint(others) for request in requests]
            self._rent_for(together, urgent, here, remaining_quotas, now)

    def _places(self, request: TaskRequest) -> tuple[str, ...]:
        """The machines, up or coming, that could take the tasks at all."""
        return tuple(
            machine.name
            for kind, machines in self._serving.items()
            if is_allowed(request, *kind)
            and request.cpus <= machines[0].cpus
            and request.gpus <= machines[0].gpus
            and request.memory_gb <= machines[0].memory_gb
            for machine in machines
        )

    def _rent_for(
        self,
        waiting: list[TaskRequest],
        urgent: list[TaskRequest],
        places: set[str],
        remaining_quotas: dict[str, RemainingQuota],
        now: timedelta,
    ) -> None:
        offers = self._offers(waiting)
        if not offers:
            return
        cheap = self._cheap(offers)
        # Machines that cost much more a core are for what would miss the last of its bounds
        # without them, and not for what can't be saved, as long as some machine serves it in time.
        hard = not cheap and bool(places)
        offers = cheap or offers
        boot = min(offer.boot_s for offer in offers)
        groups, usable = self._groups(waiting, remaining_quotas, now, boot, hard)
        supplies = self._supplies(places, waiting[0], now)
        busy, ahead = self._running(places, now)
        for request in urgent:
            job = self._cluster.jobs[request.job_id]
            if not job.is_service:
                ahead += request.count * request.cpus * self._each(job)
        usable += _usable(urgent, remaining_quotas) + busy - sum(supply.cores for supply in supplies)
        chosen = fewest(groups, supplies, ahead, offers, usable, MOST_AT_ONCE)
        if chosen:
            log.info(
                "%s machines for %s groups, due in %.0f to %.0f s, %.0f core-seconds ahead, %.0f in them, %.0f cores",
                len(chosen),
                len(groups),
                groups[0].due,
                groups[-1].due,
                ahead,
                sum(group.work for group in groups),
                sum(supply.cores for supply in supplies),
            )
        self._order(chosen, pool=True)

    def _order(self, chosen: list[Offer], pool: bool) -> None:
        for kind, count in Counter(
            InstanceKind(offer.machine_type, offer.zone, offer.spot) for offer in chosen
        ).items():
            self._machines.request_instances(kind, count, pool)

    def _groups(
        self,
        waiting: list[TaskRequest],
        remaining_quotas: dict[str, RemainingQuota],
        now: timedelta,
        boot: float,
        hard: bool,
    ) -> tuple[list[Group], float]:
        """Waiting deferrable tasks by deadline, and the cores they could use at once."""
        by_due: dict[int, Group] = {}
        team_cores: dict[str, float] = {}
        for request in waiting:
            job = self._cluster.jobs[request.job_id]
            each = self._each(job)
            remaining_quota = max(0.0, remaining_quotas[request.team].cpus - team_cores.get(request.team, 0.0))
            cores = min(remaining_quota, request.count * request.cpus)
            team_cores[request.team] = team_cores.get(request.team, 0.0) + cores
            # A team at its limit still uses all of that as its running tasks end.
            usable = max(min(self._scheduler.cpu_quota(request.team), request.count * request.cpus), request.cpus)
            work = request.count * request.cpus * each
            due = (
                job.submitted_at + (job.latest_deadline if hard else job.target_deadline * MARGIN) - now
            ).total_seconds()
            soonest = boot + max(each, work / usable)
            if due < soonest:
                if hard:
                    continue
                # Can't be saved, so it is no reason to hurry; but it must not wait for ever.
                due = soonest * SECOND_CHANCE
            group = by_due.setdefault(math.floor(due / GROUP), Group(due, 0.0, 0.0, 0.0))
            group.due = min(group.due, due)
            group.work += work
            group.longest = max(group.longest, each)
            group.usable += usable
        return [by_due[key] for key in sorted(by_due)], sum(team_cores.values())

    def _supplies(self, places: set[str], request: TaskRequest, now: timedelta) -> list[Supply]:
        supplies = []
        for machine in self._cluster.machines.values():
            if machine.name not in places:
                continue
            if machine.state is not MachineState.BOOTING:
                # What replicas hold serves nobody else again.
                supplies.append(Supply(0.0, machine.cpus - machine.service_cpus))
                continue
            kind = self._catalog.types[machine.machine_type]
            age = (now - machine.first_seen_at).total_seconds()
            if age < kind.boot_s * 2:
                # In whole seconds: what comes at about the same time is judged as one.
                supplies.append(Supply(float(max(1, round(kind.boot_s * BOOT - age))), machine.cpus))
        for order in self._machines.instance_requests.values():
            coming = self._catalog.types.get(order.kind.machine_type)
            if coming is not None and is_allowed(request, order.kind.machine_type, order.kind.zone, order.kind.spot):
                supplies.append(Supply(coming.boot_s * BOOT, coming.cpus * order.count))
        return supplies

    def _running(self, places: set[str], now: timedelta) -> tuple[float, float]:
        """Cores that tasks hold, and the core-seconds that they still take."""
        cores = work = 0.0
        for name in places:
            known = self._held.get(name)
            if known is None:
                known = self._held[name] = self._running_on(self._cluster.machines[name], now)
            cores += known[0]
            work += known[1]
        return cores, work

    def _running_on(self, machine: Machine, now: timedelta) -> tuple[float, float]:
        cores = work = 0.0
        for allocation in machine.allocations.values():
            if not allocation.job.is_service:
                cpus = allocation.job.spec.cpus
                cores += cpus
                work += cpus * self._left(allocation, now)
        return cores, work

    def _left(self, allocation: Allocation, now: timedelta) -> float:
        whole = self._each(allocation.job)
        if allocation.started_at is None:
            return whole
        return max(whole - (now - allocation.started_at).total_seconds(), whole * 0.2)

    def _each(self, job: Job) -> float:
        """What a task of the job takes, judged once a round."""
        each = self._whole.get(job.id)
        if each is None:
            each = self._whole[job.id] = self._run_times.expected(job).total_seconds()
        return each

    def _offers(self, waiting: list[TaskRequest]) -> list[Offer]:
        offers = []
        for kind in self._catalog.types.values():
            for zone in kind.zones:
                for spot in (True, False):
                    if self._machines.is_unavailable(InstanceKind(kind.name, zone, spot)):
                        continue
                    if any(
                        is_allowed(request, kind.name, zone, spot)
                        and request.cpus <= kind.cpus
                        and request.gpus <= kind.gpus
                        and request.memory_gb <= kind.memory_gb
                        for request in waiting
                    ):
                        price = kind.spot_price if spot else kind.price
                        offers.append(
                            Offer(
                                kind.name,
                                zone,
                                spot,
                                kind.cpus,
                                price,
                                kind.boot_s * BOOT,
                                gpus=kind.gpus,
                                memory_gb=kind.memory_gb,
                            )
                        )
        return offers

    def _cheap(self, offers: list[Offer]) -> list[Offer]:
        """Those that don't cost much more a core than the cheapest kind, whether that can be had or not."""
        cheapest = min(kind.spot_price / kind.cpus for kind in self._catalog.types.values() if kind.cpus)
        return [offer for offer in offers if not dear(offer, cheapest)]

    def _fade(
        self, requests: list[TaskRequest], remaining_quotas: dict[str, RemainingQuota], urgent: float, now: timedelta
    ) -> None:
        """Marks the machines that booked and waiting work can do without, the dearest first.

        They are given nothing new while others have room. Where all that is left on one saves
        its progress and would fit elsewhere, it is moved: an exception to the design, where
        only an empty machine is returned, since long tasks kept dear machines for minutes.
        """
        serving = [m for m in self._cluster.machines.values() if m.is_schedulable]
        # What is on machines that will be taken needs room elsewhere in a moment.
        demand = sum(m.cpus_used for m in self._cluster.up_machines()) + _usable(requests, remaining_quotas)
        needed = max(demand * SLACK, urgent / max(self.theta - self._operators.delta, 0.05))
        spare = 0.0
        # Of equally dear machines the fuller are kept: the others are closer to being empty.
        serving.sort(key=lambda m: (round(m.price_per_core, 3), -m.cpus_used, m.name))
        for machine in serving:
            machine.draining = needed <= 0 and not machine.reserved
            if not machine.draining:
                machine.draining_since = None
            elif machine.draining_since is None:
                machine.draining_since = now
            needed -= machine.cpus
            if not machine.draining:
                spare += machine.free_cpus
            elif (
                machine.allocations
                and machine.cpus_used <= spare
                and machine.price_per_core >= DEAR * serving[0].price_per_core
            ):
                spare -= machine.cpus_used
                self._move_away(machine, now)
            elif machine.draining_since is not None and now - machine.draining_since > STAYED:
                self._move_replicas(machine)

    def _move_replicas(self, machine: Machine) -> None:
        """A machine that only replicas keep is not kept for ever: where others have room they move,
        one of a job at a time, since each move costs replica time.
        """
        if not all(allocation.job.is_service for allocation in machine.allocations.values()):
            return
        for allocation in machine.allocations.values():
            job = allocation.job
            moving = any(other.stop_mode is not None for other in job.allocations.values())
            if not moving and job.running_count == job.task_count and self._scheduler.has_room_elsewhere(allocation):
                log.info("%s/%s moves off %s, which is not needed", job.id, allocation.task, machine.name)
                allocation.stop_mode = StopMode.CHECKPOINT

    def _move_away(self, machine: Machine, now: timedelta) -> None:
        allocations = list(machine.allocations.values())
        if any(allocation.stop_mode is None for allocation in allocations) and all(
            allocation.job.spec.makes_checkpoints
            and allocation.started_at is not None
            and now - allocation.started_at > SETTLED
            for allocation in allocations
        ):
            log.info("%s is emptied: its %s tasks save and go on elsewhere", machine.name, len(allocations))
            for allocation in allocations:
                allocation.stop_mode = allocation.stop_mode or StopMode.CHECKPOINT

    def _return_pool(self, requests: list[TaskRequest], now: timedelta) -> None:
        """An idle deferrable pool goes back whole; what of a busy one stays empty goes singly.

        Singly is an exception to the design: one long task would else keep the whole pool.
        """
        pool = [m for m in self._cluster.machines.values() if m.in_deferrable_pool and m.state is MachineState.UP]
        whole = not any(not request.urgent for request in requests) and all(not m.allocations for m in pool)
        for machine in pool:
            patience = IDLE if whole else self._patience(machine)
            if (
                not machine.allocations
                and not machine.zone_unreachable
                and not machine.reserved
                and now - machine.idle_since > patience
            ):
                self._machines.delete_machine(machine, "the pool is idle")

    def _idle_for(self, machine: Machine) -> timedelta:
        """Where services run, an ordinary machine is the only kind that some work may use: it is not
        given away in a lull that is shorter than the boot of another.
        """
        return IDLE if machine.spot or not self._services_run else self._patience(machine)

    def _patience(self, machine: Machine) -> timedelta:
        """How long an empty machine is kept: about as long as its like would take to boot."""
        kind = self._catalog.types.get(machine.machine_type)
        return max(IDLE, seconds(kind.boot_s)) if kind is not None else IDLE

    # Urgent pressure

    def _urgent(self, requests: list[TaskRequest], remaining_quotas: dict[str, RemainingQuota]) -> float:
        """Urgent cores: booked, and waiting as far as teams' limits let them run."""
        booked = sum(machine.urgent_cpus for machine in self._cluster.machines.values())
        return booked + _usable([request for request in requests if request.urgent], remaining_quotas)

    def _for_band(self, requests: list[TaskRequest], urgent: float, now: timedelta) -> None:
        self._track(urgent, now)
        outside = [
            m
            for m in self._cluster.machines.values()
            if not m.in_deferrable_pool
            and not m.zone_unreachable
            and m.state in (MachineState.UP, MachineState.BOOTING, MachineState.UNCONFIRMED)
        ]
        cores = sum(m.cpus for m in outside)
        for order in self._machines.instance_requests.values():
            kind = self._catalog.types.get(order.kind.machine_type)
            if not order.for_deferrable_pool and kind is not None:
                cores += kind.cpus * order.count
        match band(urgent, cores, self.theta, self._operators.delta):
            case Band.RENT:
                self._rent_more(requests, urgent, cores)
            case Band.RETURN:
                self._return_some(outside, urgent, cores, now)
            case Band.STAY:
                pass

    def _track(self, urgent: float, now: timedelta) -> None:
        """Theta follows the recent mean-to-peak ratio of urgent demand."""
        self._demand.append((now, urgent))
        while self._demand[0][0] < now - MEMORY:
            self._demand.popleft()
        peak = max(demand for _, demand in self._demand)
        if peak > 0 and now - self._demand[0][0] > seconds(60):
            mean = sum(demand for _, demand in self._demand) / len(self._demand)
            self.theta = min(max(mean / peak, self._operators.theta), 0.9)

    def _rent_more(self, requests: list[TaskRequest], urgent: float, cores: float) -> None:
        """Brings the share back into the band with the fewest machines.

        Where only kinds are left that cost much more, a reserve over what is booked is not
        worth its price: urgent work can requeue deferrable work.
        """
        offers = self._offers([request for request in requests if request.urgent] or requests)
        cheap = self._cheap(offers)
        self._order(refill(cheap or offers, urgent / (self.theta if cheap else 1.0) - cores, MOST_AT_ONCE), pool=False)

    def _return_some(self, outside: list[Machine], urgent: float, cores: float, now: timedelta) -> None:
        """Empty machines that no other work needs go back, the dearest first, as far as the
        share stays in the band.
        """
        most = self.theta + self._operators.delta
        empty = [
            m
            for m in outside
            if m.is_schedulable and m.draining and not m.allocations and now - m.idle_since > self._idle_for(m)
        ]
        for machine in sorted(empty, key=lambda m: -m.price_per_core):
            if urgent <= most * (cores - machine.cpus):
                cores -= machine.cpus
                self._machines.delete_machine(machine, "not needed")


def _usable(requests: list[TaskRequest], remaining_quotas: dict[str, RemainingQuota]) -> float:
    """Cores that waiting tasks could use at once within their teams' limits."""
    left = {name: remaining_quota.cpus for name, remaining_quota in remaining_quotas.items()}
    total = 0.0
    for request in requests:
        cores = max(0.0, min(left[request.team], request.count * request.cpus))
        left[request.team] -= cores
        total += cores
    return total
