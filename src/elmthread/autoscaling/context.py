"""The dependencies that the parts of the autoscaler share, and their snapshot of the cluster for one round."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from elmthread.autoscaling.instance_offers import InstanceOffers, MachineControl
from elmthread.cluster.machine import InstanceKind, Machine
from elmthread.cluster.state import ClusterState
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest
from elmthread.placement.scheduler import Scheduler
from elmthread.settings.operators import OperatorSettings


class ScalingContext(msgspec.Struct, frozen=True):
    """The dependencies of the autoscaler."""

    cluster: ClusterState
    machines: MachineControl
    offers: InstanceOffers
    scheduler: Scheduler
    operators: OperatorSettings


class RoundView(msgspec.Struct, frozen=True):
    """The input of one round, captured at its start."""

    now: timedelta
    # The waiting requests in placement order, and what each team may still use.
    requests: list[TaskRequest]
    remaining_quotas: Mapping[str, RemainingQuota]
    # Machines that accept tasks now or soon, by kind.
    machines_by_kind: Mapping[InstanceKind, list[Machine]]

    def usable_cores(self, requests: Iterable[TaskRequest]) -> float:
        """Return the cores that the requests could use at once within their teams' quotas."""
        return usable_cores(requests, self.remaining_quotas)


def usable_cores(requests: Iterable[TaskRequest], remaining_quotas: Mapping[str, RemainingQuota]) -> float:
    """Return the cores that waiting tasks could use at once within their teams' quotas."""
    cores_left = {team: remaining_quota.cpus for team, remaining_quota in remaining_quotas.items()}
    total = 0.0
    for request in requests:
        cores = max(0.0, min(cores_left[request.team], request.count * request.cpus))
        cores_left[request.team] -= cores
        total += cores
    return total
