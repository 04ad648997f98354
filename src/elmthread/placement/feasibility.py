"""Feasibility: whether a job can ever run, given its team's quota and the machine types that the cloud offers."""

from collections.abc import Iterable

from elmthread.placement.requests import TaskRequest
from elmthread.settings.platform import Team
from elmthread.store.machine_type import MachineType


def infeasibility(request: TaskRequest, team: Team, machine_types: Iterable[MachineType]) -> str | None:
    """Return the reason why `request.count` tasks of the job can never run at the same time, or None if they can."""
    if request.cpus * request.count > team.cpu_quota or request.gpus * request.count > team.gpu_quota:
        subject = "one task needs" if request.count == 1 else "its replicas together need"
        return f"{subject} more than the team's limit"
    for machine_type in machine_types:
        if request.machine_types is not None and machine_type.name not in request.machine_types:
            continue
        if request.zone is not None and request.zone not in machine_type.zones:
            continue
        if (
            request.cpus <= machine_type.cpus
            and request.gpus <= machine_type.gpus
            and request.memory_gb <= machine_type.memory_gb
        ):
            return None
    return "a task fits no allowed machine type"
