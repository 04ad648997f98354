"""Draining: machines not needed for running and waiting work get no new tasks, and are emptied."""

import logging
from datetime import timedelta

from elmthread.autoscaling.context import RoundView, ScalingContext
from elmthread.cluster.allocation import StopMode
from elmthread.cluster.machine import Machine
from elmthread.common.clock import seconds

log = logging.getLogger(__name__)

# Cores kept for each core of demand, as some of the free capacity is too fragmented to be used.
CAPACITY_FACTOR = 1.1
# Tasks are moved off a draining machine whose price per core is at least this many times the lowest, once all its
# tasks have run for MIN_RUN_TIME_BEFORE_RELOCATION, as each move costs run time.
RELOCATION_PRICE_RATIO = 1.4
MIN_RUN_TIME_BEFORE_RELOCATION = seconds(30)
# How long a machine drains before its replicas are moved to other machines.
MAX_REPLICA_DRAIN_TIME = seconds(600)


class Draining:
    """Marks the machines to drain, and relocates their tasks where this reduces cost."""

    def __init__(self, context: ScalingContext) -> None:
        """Use the dependencies of the autoscaler; the draining state is kept on the machines."""
        self._cluster = context.cluster
        self._scheduler = context.scheduler

    def run(self, view: RoundView, urgent_cores: float, min_urgent_share: float) -> None:
        """Mark the machines that are not needed, the most expensive first, and empty some of them.

        They get no new tasks while others have room. If such a machine is much more expensive than the cheapest,
        and all of its tasks make checkpoints and would fit elsewhere, they are moved. This deviates from the
        Chiron paper's design, in which machines empty only as tasks end: long tasks would keep expensive machines
        running for minutes.
        """
        schedulable = [m for m in self._cluster.machines.values() if m.is_schedulable]
        # Tasks on machines that the cloud is about to reclaim will need room elsewhere, so they count as demand.
        demand = sum(m.cpus_used for m in self._cluster.up_machines()) + view.usable_cores(view.requests)
        needed = max(demand * CAPACITY_FACTOR, urgent_cores / min_urgent_share)
        spare_cores = 0.0
        # Among equally expensive machines, the fullest are kept, as the others will be empty sooner.
        schedulable.sort(key=lambda m: (round(m.price_per_core, 3), -m.cpus_used, m.name))
        for machine in schedulable:
            _set_draining(machine, needed <= 0 and not machine.reserved, view.now)
            needed -= machine.cpus
            if not machine.draining:
                spare_cores += machine.free_cpus
            elif (
                machine.allocations
                and machine.cpus_used <= spare_cores
                and machine.price_per_core >= RELOCATION_PRICE_RATIO * schedulable[0].price_per_core
            ):
                spare_cores -= machine.cpus_used
                self._relocate_tasks(machine, view.now)
            elif machine.draining_since is not None and view.now - machine.draining_since > MAX_REPLICA_DRAIN_TIME:
                self._relocate_replicas(machine)

    def _relocate_tasks(self, machine: Machine, now: timedelta) -> None:
        """Stop all tasks of the machine if each makes checkpoints and has run for long enough."""
        allocations = list(machine.allocations.values())
        if any(allocation.stop_mode is None for allocation in allocations) and all(
            allocation.job.spec.makes_checkpoints
            and allocation.started_at is not None
            and now - allocation.started_at > MIN_RUN_TIME_BEFORE_RELOCATION
            for allocation in allocations
        ):
            log.info("draining machine %s: its %s tasks are checkpointed and requeued", machine.name, len(allocations))
            for allocation in allocations:
                allocation.stop_mode = allocation.stop_mode or StopMode.CHECKPOINT

    def _relocate_replicas(self, machine: Machine) -> None:
        """Stop replicas that fit on other machines, if only replicas are left on this one.

        Only one replica of a job moves at a time, as it is unavailable meanwhile.
        """
        if not all(allocation.job.is_service for allocation in machine.allocations.values()):
            return
        for allocation in machine.allocations.values():
            job = allocation.job
            is_moving = any(other.stop_mode is not None for other in job.allocations.values())
            if not is_moving and job.running_count == job.task_count and self._scheduler.has_room_elsewhere(allocation):
                log.info("replica %s/%s moves off draining machine %s", job.id, allocation.task, machine.name)
                allocation.stop_mode = StopMode.CHECKPOINT


def _set_draining(machine: Machine, draining: bool, now: timedelta) -> None:
    machine.draining = draining
    if not draining:
        machine.draining_since = None
    elif machine.draining_since is None:
        machine.draining_since = now
