"""Scaling for services, in addition to the urgent band, which counts cores of every kind.

Replicas hold their cores as long as the service runs. Often they may not use spot instances, or at most half of
them may run in one zone, so free cores of the wrong kind are of no use to them. Therefore, instances are requested
immediately for replicas that fit nowhere, and the share of replicas in the cores that they may use is kept in the
same band. This deviates from the Chiron paper's design.
"""

from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

import msgspec

from elmthread.autoscaling.context import RoundView, ScalingContext, usable_cores
from elmthread.autoscaling.instance_offers import BOOT_TIME_FACTOR, MAX_INSTANCES_PER_DECISION
from elmthread.autoscaling.instance_selection import cover_shortfall
from elmthread.autoscaling.replica_room import (
    DemandTrend,
    ReplicaCapacity,
    instances_for_replicas,
    machines_to_reserve,
    unplaced_requests,
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

    current_cores: float
    projected_cores: float  # expected need when an instance requested now is up
    largest_job_cores: float  # of all replicas of the largest service


class ServiceScaling:
    """Scales out for replicas, and keeps on-demand machines in reserve for them."""

    def __init__(self, context: ScalingContext) -> None:
        """Assume that no services run until the first round."""
        self.has_services = False
        self._cluster = context.cluster
        self._scheduler = context.scheduler
        self._operators = context.operators
        self._offers = context.offers
        self._catalog = context.machines.catalog
        self._trend = DemandTrend()

    def run(self, view: RoundView) -> None:
        """Request instances for replicas, and mark the machines to keep in reserve for them."""
        services = [job for job in self._cluster.open_jobs.values() if job.is_service]
        self.has_services = bool(services)
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
        # Room is kept for one more service like the largest one, in the zones that it may use. Services that may not
        # use spot instances count as larger than all others.
        largest = max(services, key=lambda job: (not job.spec.spot, job.task_count * job.spec.cpus))
        self._scale_out_for_replicas([*waiting, self._request_for_all_tasks(largest)], view.now)
        on_demand_machines = [
            m for m in self._cluster.machines.values() if not m.spot and m.provides_capacity(view.now)
        ]
        on_demand_only = [job for job in services if not job.spec.spot]
        need = self._on_demand_need(waiting, on_demand_machines, largest, view.now)
        if on_demand_only:
            self._keep_in_band(on_demand_only, need, on_demand_machines)
        self._mark_reserved(on_demand_machines, need if on_demand_only else None)

    def _request_for_all_tasks(self, job: Job) -> TaskRequest:
        """Return a request for all tasks of the job, as if none of them were placed."""
        return replace(
            self._scheduler.request_for_one_task(job),
            count=job.task_count,
            tasks_by_zone={},
            tasks_by_machine={},
            excluded_machines=(),
        )

    def _scale_out_for_replicas(self, waiting: Sequence[TaskRequest], now: timedelta) -> None:
        """Request instances for replicas that fit neither on present nor on expected machines."""
        remaining_quotas = self._scheduler.remaining_quotas()
        remaining = unplaced_requests(waiting, self._expected_capacity(waiting, now), remaining_quotas)
        if remaining:
            offers = self._offers.for_requests(remaining)
            chosen = instances_for_replicas(remaining, offers, remaining_quotas, MAX_INSTANCES_PER_DECISION)
            self._offers.request(chosen, for_deferrable_pool=False)

    def _expected_capacity(self, waiting: Sequence[TaskRequest], now: timedelta) -> list[FreeCapacity]:
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
        current_cores = sum(m.service_cpus for m in on_demand_machines)
        current_cores += usable_cores(
            [request for request in waiting if not request.spot], self._scheduler.remaining_quotas()
        )
        max_boot_s = max(machine_type.boot_s for machine_type in self._catalog.types.values())
        boot_time = seconds(max_boot_s * BOOT_TIME_FACTOR) + self._operators.urgent_share_check_interval
        projected_cores = current_cores + self._trend.growth(now, current_cores) * boot_time.total_seconds()
        return _OnDemandNeed(current_cores, projected_cores, largest.task_count * largest.spec.cpus)

    def _keep_in_band(
        self, on_demand_only: Sequence[Job], need: _OnDemandNeed, on_demand_machines: Sequence[Machine]
    ) -> None:
        """Request on-demand instances if replicas use too large a share of the cores, or are projected to need more."""
        theta, delta = self._operators.target_urgent_share, self._operators.urgent_share_tolerance
        cores = sum(m.cpus - (m.urgent_cpus - m.service_cpus) for m in on_demand_machines)
        cores += sum(
            machine_type.cpus * pending.count
            for pending, machine_type in self._offers.pending()
            if not pending.kind.spot
        )
        decision = band_decision(need.current_cores, cores, theta, delta)
        if decision is BandDecision.SCALE_OUT or need.projected_cores > cores:
            offers = self._offers.for_requests([self._scheduler.request_for_one_task(job) for job in on_demand_only])
            shortfall = max(need.current_cores / theta, need.projected_cores) - cores
            chosen = cover_shortfall(offers, shortfall, MAX_INSTANCES_PER_DECISION)
            self._offers.request(chosen, for_deferrable_pool=False)

    def _mark_reserved(self, on_demand_machines: list[Machine], need: _OnDemandNeed | None) -> None:
        """Mark enough machines as reserved for `need`: those with the most replica cores first, then the cheapest."""
        needed = 0.0
        if need is not None:
            current_cores, min_share = (
                need.current_cores,
                max(self._operators.target_urgent_share - self._operators.urgent_share_tolerance, MIN_URGENT_SHARE),
            )
            needed = (
                max(current_cores / min_share, need.projected_cores, current_cores + need.largest_job_cores)
                - current_cores
            )
        on_demand_machines.sort(key=lambda m: (-m.service_cpus, m.price_per_core, m.name))
        reserved = machines_to_reserve(
            (ReplicaCapacity(m.name, m.zone, m.cpus - m.urgent_cpus) for m in on_demand_machines), needed
        )
        for machine in self._cluster.machines.values():
            machine.reserved = machine.name in reserved


def _capacity_for_replicas(machine: Machine) -> FreeCapacity:
    """Return the capacity that the machine would have for more replicas if its deferrable tasks were preempted.

    Urgent tasks, which include replicas, keep their resources; their GPUs and memory are estimated by their share
    of the used CPUs.
    """
    urgent_fraction = machine.urgent_cpus / machine.cpus_used if machine.cpus_used else 0.0
    return FreeCapacity(
        machine.name,
        machine.machine_type,
        machine.zone,
        machine.spot,
        machine.cpus - machine.urgent_cpus,
        machine.gpus - machine.gpus_used * urgent_fraction,
        machine.memory_gb - machine.memory_gb_used * urgent_fraction,
    )
