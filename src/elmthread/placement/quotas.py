"""Team quotas: what a team may still use, and which of its jobs are within its guarantee."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from elmthread.cluster.state import ClusterState
from elmthread.settings.platform import Team


@dataclass(slots=True)
class RemainingQuota:
    """The cores and GPUs that a team may still use."""

    cpus: float = math.inf
    gpus: float = math.inf

    def reserve_for_urgent(self) -> None:
        """Keep the remaining cores free for the team's urgent task; smaller tasks would otherwise always take them."""
        self.cpus = 0.0


class TeamQuotas:
    """The quotas of all teams, minus their current usage, and their guarantees."""

    def __init__(self, cluster: ClusterState, teams: Mapping[str, Team]) -> None:
        """Take the usage of each team from `cluster`; `teams` are by name."""
        self.teams = teams
        self._cluster = cluster

    def cpu_quota(self, team: str) -> float:
        """Return the cores that the team may use at once; infinite for a team without settings."""
        return self.teams[team].cpu_quota if team in self.teams else math.inf

    def remaining(self) -> dict[str, RemainingQuota]:
        """Return what each team may still use, as new objects that the caller may modify."""
        return {
            name: RemainingQuota(
                team.cpu_quota - self._cluster.cpus_by_team.get(name, 0.0),
                team.gpu_quota - self._cluster.gpus_by_team.get(name, 0.0),
            )
            for name, team in self.teams.items()
        }

    def guaranteed_jobs(self) -> set[str]:
        """Return the jobs whose remaining tasks fit their team's guarantee, together with those of its earlier jobs."""
        cpus_by_team: dict[str, float] = {}
        guaranteed: set[str] = set()
        for job in sorted(self._cluster.open_jobs.values(), key=lambda job: job.submitted_at):
            team = self.teams.get(job.spec.team)
            if team is None or not team.cpus:
                continue
            total = cpus_by_team.get(team.name, 0.0) + job.spec.cpus * (job.task_count - job.done_count)
            cpus_by_team[team.name] = total
            if total <= team.cpus:
                guaranteed.add(job.id)
        return guaranteed
