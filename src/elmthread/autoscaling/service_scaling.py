"""Scaling for services, in addition to the urgent band, which counts cores of every kind.

Replicas hold their cores as long as the service runs. Often they may not use spot instances, or at most half of
them may run in one zone, so free cores of the wrong kind are of no use to them. Therefore, instances are requested
immediately for replicas that fit nowhere, and the share of replicas in the cores that they may use is kept in the
same band. This deviates from the design.
"""

from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

import msgspec

from elmthread.autoscaling.context import RoundView, ScalingContext, usable_cores
from elmthread.autoscaling.instance_offers import BOOT_TIME_FACTOR, MAX_INSTANCES_PER_ROUND
from elmthread.autoscaling.instance_selection import cover_shortfall
from elmthread.autoscaling.replica_room import (
    DemandTrend,
    ReplicaCapacity,
    instances_for,
    machines_to_reserve,
    unplaced,
)
from elmthread.autoscaling.urgent_band import MIN_URGENT_SHARE, BandDecision, band_decision
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.common.clock import seconds
from elmthread.placement.bin_packing import is_allowed
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.requests import TaskRequest


class _OnDemandNeed(msgspec.Struct, frozen=True):
    """The cores of on-demand machines that services need."""

    booked: float
    soon: float  # expected need when an instance requested now is up
    largest_job: float  # of all replicas of the largest service


class ServiceScaling:
    """Scales out for replicas, and keeps on-demand machines in reserve for them."""

    def __init__(self, context: ScalingContext) -> None:
        """Assume that no services run until the first round."""
        self.services_run = False
        self._cluster = context.cluster
        self._scheduler = context.scheduler
        self._operators = context.operators
        self._offers = context.offers
        self._catalog = context.machines.catalog
        self._trend = DemandTrend()

    def run(self, view: RoundView) -> None:
        """Request instances for replicas, and mark the machines to keep in reserve for them."""
        services = [job for job in self._cluster.open_jobs.values() if job.is_service]
        self.services_run = bool(services)
        if not services:
            self._trend.growth(view.now, 0.0)
            for machine in self._cluster.machines.values():
                machine.reserved = False
            return
        # Machines that a failing service avoids count as room for it; otherwise it would request ever more machines.
        waiting = [
            replace(request, excluded_machines=()) if job.backoff else request
            for request in view.requests
            if (job := self._cluster.jobs[request.job_id]).is_service
        ]
        # Room is kept for one more service like the largest one, in the zones that it may use.
        largest = max(services, key=lambda job: (not job.spec.spot, job.task_count * job.spec.cpus))
        self._request_room([*waiting, self._whole_job(largest)], view.now)
        on_demand_machines = [
            m for m in self._cluster.machines.values() if not m.spot and m.provides_capacity(view.now)
        ]
        spot_excluded = [job for job in services if not job.spec.spot]
        need = self._on_demand_need(waiting, on_demand_machines, largest, view.now)
        if spot_excluded:
            self._hold_band(spot_excluded, need, on_demand_machines)
        self._reserve(on_demand_machines, need if spot_excluded else None)

    def _whole_job(self, job: Job) -> TaskRequest:
        """Return a request for all tasks of the job, as if none of them were placed."""
        return replace(
            self._scheduler.request_for_one_task(job),
            count=job.task_count,
            tasks_by_zone={},
            tasks_by_machine={},
            excluded_machines=(),
        )

    def _request_room(self, waiting: Sequence[TaskRequest], now: timedelta) -> None:
        """Request instances for replicas that fit neither on present nor on expected machines."""
        remaining_quotas = self._scheduler.remaining_quotas()
        left = unplaced(waiting, self._coming_capacity(waiting, now), remaining_quotas)
        if left:
            offers = self._offers.for_requests(left)
            chosen = instances_for(left, offers, remaining_quotas, MAX_INSTANCES_PER_ROUND)
            self._offers.request(chosen, for_deferrable_pool=False)

    def _coming_capacity(self, waiting: Sequence[TaskRequest], now: timedelta) -> list[FreeCapacity]:
        """Return the capacity for replicas after preempting deferrable tasks and booting pending machines."""
        capacities = [
            _capacity_for_replicas(machine)
            for machine in self._cluster.machines.values()
            if machine.provides_capacity(now)
            and any(is_allowed(request, machine.machine_type, machine.zone, machine.spot) for request in waiting)
        ]
        for pending, machine_type in self._offers.pending():
            kind = pending.kind
            capacities += [
                FreeCapacity(
                    f"{pending.name}+{number}",
                    kind.machine_type,
                    kind.zone,
                    kind.spot,
                    machine_type.cpus,
                    machine_type.gpus,
                    machine_type.memory_gb,
                )
                for number in range(pending.count)
            ]
        return capacities

    def _on_demand_need(
        self, waiting: Sequence[TaskRequest], on_demand_machines: Sequence[Machine], largest: Job, now: timedelta
    ) -> _OnDemandNeed:
        booked = sum(m.service_cpus for m in on_demand_machines)
        booked += usable_cores([request for request in waiting if not request.spot], self._scheduler.remaining_quotas())
        max_boot_s = max(machine_type.boot_s for machine_type in self._catalog.types.values())
        boot = seconds(max_boot_s * BOOT_TIME_FACTOR) + self._operators.urgent_share_check_interval
        soon = booked + self._trend.growth(now, booked) * boot.total_seconds()
        return _OnDemandNeed(booked, soon, largest.task_count * largest.spec.cpus)

    def _hold_band(
        self, spot_excluded: Sequence[Job], need: _OnDemandNeed, on_demand_machines: Sequence[Machine]
    ) -> None:
        """Request on-demand instances if the share of replicas is above the band, or too few cores are expected."""
        theta, delta = self._operators.target_urgent_share, self._operators.urgent_share_tolerance
        cores = sum(m.cpus - (m.urgent_cpus - m.service_cpus) for m in on_demand_machines)
        cores += sum(
            machine_type.cpus * pending.count
            for pending, machine_type in self._offers.pending()
            if not pending.kind.spot
        )
        decision = band_decision(need.booked, cores, theta, delta)
        if decision is BandDecision.SCALE_OUT or need.soon > cores:
            offers = self._offers.for_requests([self._scheduler.request_for_one_task(job) for job in spot_excluded])
            shortfall = max(need.booked / theta, need.soon) - cores
            chosen = cover_shortfall(offers, shortfall, MAX_INSTANCES_PER_ROUND)
            self._offers.request(chosen, for_deferrable_pool=False)

    def _reserve(self, on_demand_machines: list[Machine], need: _OnDemandNeed | None) -> None:
        """Mark the machines to reserve: first those that run the most replica cores, then the cheapest."""
        needed = 0.0
        if need is not None:
            booked, min_share = (
                need.booked,
                max(self._operators.target_urgent_share - self._operators.urgent_share_tolerance, MIN_URGENT_SHARE),
            )
            needed = max(booked / min_share, need.soon, booked + need.largest_job) - booked
        on_demand_machines.sort(key=lambda m: (-m.service_cpus, m.price_per_core, m.name))
        reserved = machines_to_reserve(
            (ReplicaCapacity(m.name, m.zone, m.cpus - m.urgent_cpus) for m in on_demand_machines), needed
        )
        for machine in self._cluster.machines.values():
            machine.reserved = machine.name in reserved


def _capacity_for_replicas(machine: Machine) -> FreeCapacity:
    """Return the capacity left by urgent tasks, whose GPUs and memory are estimated by their share of the used CPUs."""
    urgent_part = machine.urgent_cpus / machine.cpus_used if machine.cpus_used else 0.0
    return FreeCapacity(
        machine.name,
        machine.machine_type,
        machine.zone,
        machine.spot,
        machine.cpus - machine.urgent_cpus,
        machine.gpus - machine.gpus_used * urgent_part,
        machine.memory_gb - machine.memory_gb_used * urgent_part,
    )
