"""Lateness: which groups of deferrable tasks end after their deadline (Chiron paper, section 5.3). Pure functions.

All times are in seconds from now, as no value is kept for longer than one round.
"""

import math
from collections.abc import Sequence

import msgspec


class CoreSupply(msgspec.Struct, frozen=True):
    """Cores that are available to deferrable work from `start_s` on."""

    start_s: float
    cores: float


class DeadlineGroup(msgspec.Struct):
    """Waiting deferrable tasks with about the same deadline."""

    due_s: float
    core_seconds: float
    longest_task_s: float  # expected run time of its longest task
    usable_cores: float  # that its tasks can use at once within their teams' quotas

    @property
    def min_duration_s(self) -> float:
        """The shortest possible duration: the longer of its longest task and all its work on the cores it may use."""
        return max(self.longest_task_s, self.core_seconds / self.usable_cores if self.usable_cores > 0 else math.inf)


def merge_supplies(supplies: Sequence[CoreSupply]) -> list[CoreSupply]:
    """Return the supplies in order of start, with those of the same start merged."""
    cores: dict[float, float] = {}
    for supply in supplies:
        cores[supply.start_s] = cores.get(supply.start_s, 0.0) + supply.cores
    return [CoreSupply(start_s, cores[start_s]) for start_s in sorted(cores)]


def finish_time_s(core_seconds: float, supplies: Sequence[CoreSupply]) -> float:
    """Return when the supplies, in order of start, complete that much work; infinite without any cores."""
    at_s, cores = 0.0, 0.0
    for supply in supplies:
        if supply.start_s > at_s:
            if cores > 0 and core_seconds <= cores * (supply.start_s - at_s):
                return at_s + core_seconds / cores
            core_seconds -= cores * (supply.start_s - at_s)
            at_s = supply.start_s
        cores += supply.cores
    if core_seconds <= 0:
        return at_s
    return at_s + core_seconds / cores if cores > 0 else math.inf


def group_end_times_s(
    groups: Sequence[DeadlineGroup], supplies: Sequence[CoreSupply], core_seconds_ahead: float
) -> list[float]:
    """Return when each group ends; the work ahead runs first, then `groups`, which are in order of deadline."""
    end_times_s = []
    supplies = merge_supplies(supplies)
    wait_s = finish_time_s(core_seconds_ahead, supplies)
    for group in groups:
        work_end_s = finish_time_s(core_seconds_ahead + group.core_seconds, supplies)
        end_times_s.append(max(work_end_s, wait_s + group.min_duration_s))
        core_seconds_ahead += group.core_seconds
        wait_s = work_end_s
    return end_times_s


def late_groups(
    groups: Sequence[DeadlineGroup],
    supplies: Sequence[CoreSupply],
    core_seconds_ahead: float,
    ignored: frozenset[int],
) -> list[int]:
    """Return the indices of the groups that end late, except the ignored ones."""
    return [
        index
        for index, end_s in enumerate(group_end_times_s(groups, supplies, core_seconds_ahead))
        if end_s > groups[index].due_s and index not in ignored
    ]


def infeasible_groups(groups: Sequence[DeadlineGroup], boot_s: float) -> frozenset[int]:
    """Return the indices of the groups that would be late even if unlimited machines were requested now."""
    return frozenset(index for index, group in enumerate(groups) if boot_s + group.min_duration_s > group.due_s)
