"""Proof that each check of the reference model can fail: a violation that it misses goes unnoticed in all tests."""

from collections.abc import Callable

import pytest

from tests.world.loop import SimLoop
from tests.world.rules import Rules
from tests.world.specs import job


def make_rules() -> Rules:
    loop = SimLoop()
    rules = Rules(loop, {"red": 4.0, "blue": float("inf")}, 30.0)
    rules.submitted(job(1, crew="red", pieces=3, cpus=2.0, one_zone=True))
    rules.submitted(job(2, pieces=4, scatter=True, yard=None, loaners=False, builds=["large"]))
    rules.observe_response("run-000001", 201, "queued")
    rules.observe_response("run-000002", 201, "queued")
    return rules


def start_task(rules: Rules, task: str, machine: str = "m-1", zone: str = "east", spot: bool = False) -> None:
    rules.task_started(machine, task, "large", zone, spot)


def report_cancelled(rules: Rules) -> None:
    rules.asked_to_cancel.add("run-000001")
    rules.observe_response("run-000001", 200, "cancelled")


def run_past_cancellation(rules: Rules) -> None:
    start_task(rules, "run-000001/0")
    report_cancelled(rules)
    rules.loop.now = 30.5
    rules.check_cancelled()


def report_older_state(rules: Rules) -> None:
    report_cancelled(rules)
    rules.loop.now = 5.0
    rules.observe_response("run-000001", 200, "running", asked=4.9)


def report_two_final_states(rules: Rules) -> None:
    """Report two final states of a job, which is a violation even if the two requests overlap."""
    report_cancelled(rules)
    rules.finished |= {f"run-000001/{n}" for n in range(3)}
    rules.observe_response("run-000001", 200, "done", asked=-1.0)


def accept_impossible_job(rules: Rules) -> None:
    rules.submitted(job(3, cpus=99.0))
    rules.invalid_jobs.add("run-000003")
    rules.observe_response("run-000003", 201, "queued")


def keep_job_waiting(rules: Rules) -> None:
    rules.faults_cleared_at = 0.0
    for now in (0.0, 50.0, 91.0):
        rules.loop.now = now
        rules.check_waiting(lambda spec: True)


def forget_job(rules: Rules) -> None:
    rules.faults_cleared_at = 0.0
    for now in (0.0, 76.0):
        rules.loop.now = now
        rules.observe_response("run-000001", 503, None)


def run_task_twice(rules: Rules) -> None:
    start_task(rules, "run-000001/0")
    start_task(rules, "run-000001/0", "m-2")


def exceed_quota(rules: Rules) -> None:
    for index in range(3):
        start_task(rules, f"run-000001/{index}")


def use_two_zones(rules: Rules) -> None:
    start_task(rules, "run-000001/0")
    start_task(rules, "run-000001/1", "m-2", "west")


def leave_unspread(rules: Rules) -> None:
    for index in range(3):
        start_task(rules, f"run-000002/{index}")


VIOLATIONS: dict[str, list[Callable[[Rules], object]]] = {
    "ran_twice": [run_task_twice],
    "quota": [exceed_quota],
    "wrong_place": [
        use_two_zones,
        lambda rules: start_task(rules, "run-000002/0", spot=True),
        leave_unspread,
        lambda rules: rules.task_started("m-1", "run-000002/0", "small", "east", False),
    ],
    "ran_cancelled": [run_past_cancellation],
    "forgotten": [
        forget_job,
        lambda rules: rules.observe_response("run-000001", 404, None),
        lambda rules: rules.observe_response("run-000002", 422, None),
    ],
    "invented": [lambda rules: rules.observe_response("run-000009", 200, "queued")],
    "not_done": [lambda rules: rules.observe_response("run-000001", 200, "done")],
    "went_back": [
        report_older_state,
        report_two_final_states,
        lambda rules: rules.observe_response("run-000001", 200, "cancelled"),
    ],
    "accepted": [accept_impossible_job],
    "waits": [keep_job_waiting],
}


@pytest.mark.parametrize(
    ("rule", "index"), [(rule, n) for rule, violations in VIOLATIONS.items() for n in range(len(violations))]
)
def test_each_check_detects_its_violations(rule: str, index: int) -> None:
    rules = make_rules()
    VIOLATIONS[rule][index](rules)
    rules.loop.close()
    assert {entry.split()[1].rstrip(":") for entry in rules.violations} == {rule}


def test_valid_events_break_no_rule() -> None:
    rules = make_rules()
    start_task(rules, "run-000001/0")
    start_task(rules, "run-000001/1")
    report_cancelled(rules)
    assert not rules.late_starts
    # A response may be as old as its request, which was sent before the cancellation was reported.
    rules.loop.now = 1.0
    rules.observe_response("run-000001", 200, "running", asked=-0.5)
    rules.task_ended("m-1", "run-000001/0")
    rules.task_ended("m-1", "run-000001/1")
    rules.loop.now = 40.0
    rules.check_cancelled()
    start_task(rules, "run-000001/2")
    rules.loop.close()
    assert rules.violations and rules.violations[0].split()[1] == "ran_cancelled:" and len(rules.late_starts) == 1
