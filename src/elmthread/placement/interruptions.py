"""Spot interruptions: stops tasks before the cloud reclaims their machines, with a checkpoint if possible."""

from datetime import timedelta

from elmthread.cluster.allocation import Allocation, StopMode
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import seconds
from elmthread.placement.bin_packing import fitting_tasks
from elmthread.placement.capacity import free_capacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import RequestFactory

# Upper bound on the delivery time of a stop command, in heartbeat intervals.
STOP_DELIVERY_HEARTBEATS = 1.5


def has_room_elsewhere(cluster: ClusterState, requests: RequestFactory, allocation: Allocation) -> bool:
    """Return whether another machine that is not draining has room for the task.

    The task itself is not counted against the limit of its zone, and quotas are not checked.
    """
    request = requests.request_for_one_task(allocation.job)
    zone = allocation.machine.zone
    if zone in request.tasks_by_zone:
        request.tasks_by_zone[zone] -= 1
    return any(
        fitting_tasks(request, free_capacity(machine, cluster), RemainingQuota())
        for machine in cluster.up_machines()
        if machine.is_schedulable
        and not machine.draining
        and machine is not allocation.machine
        and machine.free_cpus >= request.cpus
    )


class SpotInterruptions:
    """Stops tasks on machines that have received an interruption notice."""

    def __init__(
        self,
        cluster: ClusterState,
        requests: RequestFactory,
        run_times: RunTimeModel,
        heartbeat_interval: timedelta,
    ) -> None:
        """Derive the maximum delivery delay of a stop command from `heartbeat_interval`."""
        self._cluster = cluster
        self._requests = requests
        self._run_times = run_times
        self._max_stop_delay = heartbeat_interval * STOP_DELIVERY_HEARTBEATS

    def stop_tasks(self, now: timedelta) -> None:
        """Stop the tasks that are not expected to end before their machine is reclaimed."""
        for machine in self._cluster.up_machines():
            if machine.interruption_at is None:
                continue
            time_left = machine.interruption_at - now
            for allocation in machine.allocations.values():
                if allocation.stop_mode is not None or self._ends_within(allocation, time_left, now):
                    continue
                if allocation.job.is_service and not self._should_stop_replica(allocation, time_left):
                    continue
                allocation.stop_mode = StopMode.CHECKPOINT

    def _should_stop_replica(self, allocation: Allocation, time_left: timedelta) -> bool:
        """Return whether to stop a replica now.

        It is stopped if it has not started yet, if another machine has room for it, or if the time left is too short
        to wait for room.
        """
        stop_time = self._max_stop_delay + seconds(allocation.job.spec.checkpoint_duration_s)
        if allocation.started_at is None or time_left < stop_time:
            return True
        return has_room_elsewhere(self._cluster, self._requests, allocation)

    def _ends_within(self, allocation: Allocation, time_left: timedelta, now: timedelta) -> bool:
        if allocation.started_at is None or allocation.job.is_service:
            return False
        return self._run_times.expected_run_time(allocation.job) - (now - allocation.started_at) < time_left
