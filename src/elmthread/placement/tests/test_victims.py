"""Tests of preemption: its bounds, and agreement with the reference model."""

import random
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.tests import reference
from elmthread.placement.tests.clusters import make_request, random_cluster
from elmthread.placement.victims import PreemptionCandidate, preempt

deterministic = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def test_a_team_at_its_quota_preempts_its_own_tasks() -> None:
    capacities = {"m": FreeCapacity("m", "s", "x", False, cpus=8.0, gpus=0.0, memory_gb=8.0)}
    candidates = [PreemptionCandidate(n, "m", team, 1.0, 0.0, 0.1) for n, team in enumerate(["t", "v", "t", "t"])]
    chosen = preempt(make_request("u", 1, 2.0, urgent=True), capacities, {"m": candidates}, RemainingQuota(0.0))
    assert [candidate.team for candidate in chosen] == ["t", "t"]


def test_nothing_is_preempted_for_a_request_that_no_machine_allows() -> None:
    """Guard against stopping a team's other tasks, round after round, for a job whose zone is not certain yet."""
    capacities = {name: FreeCapacity(name, "s", name, False, cpus=4.0, gpus=0.0, memory_gb=8.0) for name in "xy"}
    candidates = {name: [PreemptionCandidate(1, name, "t", 2.0, 0.0, 0.1)] for name in "xy"}
    request = make_request("u", 1, 2.0, urgent=True)
    request.one_zone = True
    request.tasks_by_zone = {"x": 1, "y": 1}
    assert preempt(request, capacities, candidates, RemainingQuota(0.0)) == []
    request.tasks_by_zone = {"x": 1}
    assert len(preempt(request, capacities, candidates, RemainingQuota(0.0))) == 1


@deterministic
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 9)), max_size=6), st.integers(0, 3), st.integers(1, 4))
def test_preemption_frees_enough_and_no_more_than_needed(
    running: list[tuple[int, int]], free_cpus: int, needed_cpus: int
) -> None:
    candidates = [
        PreemptionCandidate(n, "m", "other", float(cpus), 0.0, 0.0, timedelta(seconds=loss))
        for n, (cpus, loss) in enumerate(running)
    ]
    capacity = FreeCapacity("m", "s", "x", False, cpus=float(free_cpus), gpus=0.0, memory_gb=9.0)
    chosen = preempt(
        make_request("u", 1, float(needed_cpus)), {"m": capacity}, {"m": list(candidates)}, RemainingQuota()
    )
    if free_cpus + sum(cpus for cpus, _ in running) < needed_cpus or free_cpus >= needed_cpus:
        assert chosen == []
    else:
        freed = free_cpus + sum(candidate.cpus for candidate in chosen)
        assert freed >= needed_cpus
        # The last victim was necessary.
        assert freed - chosen[-1].cpus < needed_cpus


def test_preemption_stops_what_the_reference_stops() -> None:
    for seed in range(40):
        outcomes = []
        for implementation in (preempt, reference.preempt):
            rng = random.Random(seed)
            _, capacities, _ = random_cluster(rng, 30, 0)
            candidates = [
                PreemptionCandidate(
                    n, rng.choice(capacities).name, rng.choice(["t1", "t2"]), 1.0, 0.0, 1.0, timedelta(rng.random())
                )
                for n in range(150)
            ]
            request = make_request("u", rng.randint(1, 40), 2.0, team="t1", urgent=True)
            by_name = {capacity.name: capacity for capacity in capacities}
            if implementation is preempt:
                by_machine: dict[str, list[PreemptionCandidate]] = {}
                for candidate in candidates:
                    by_machine.setdefault(candidate.machine, []).append(candidate)
                chosen = preempt(request, by_name, by_machine, RemainingQuota(rng.choice([4.0, 500.0])))
            else:
                chosen = reference.preempt(request, by_name, candidates, RemainingQuota(rng.choice([4.0, 500.0])))
            outcomes.append((sorted(candidate.attempt for candidate in chosen), request.count))
        assert outcomes[0] == outcomes[1]


def test_only_work_of_lower_priority_is_preempted() -> None:
    """A low-priority service is urgent, but does not preempt tasks of the same or a higher priority."""
    for rank, preempted_ranks in ((0, [1, 2, 3]), (2, [3]), (3, [])):
        candidates = [PreemptionCandidate(n, "m", "other", 2.0, 0.0, 0.0, timedelta(seconds=n), n) for n in range(1, 4)]
        capacity = FreeCapacity("m", "s", "x", False, cpus=0.0, gpus=0.0, memory_gb=9.0)
        request = make_request("u", 3, 2.0, urgent=True)
        request.priority_rank = rank
        chosen = preempt(request, {"m": capacity}, {"m": candidates}, RemainingQuota())
        assert sorted(candidate.priority_rank for candidate in chosen) == preempted_ranks
