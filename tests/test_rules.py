"""Each check of the plain model is seen to fail: what it lets through would let through the service."""

from collections.abc import Callable

import pytest

from tests.world.loop import SimLoop
from tests.world.rules import Rules
from tests.world.specs import job


def rules() -> Rules:
    loop = SimLoop()
    one = Rules(loop, {"red": 4.0, "blue": float("inf")}, 30.0)
    one.submitted(job(1, crew="red", pieces=3, cpus=2.0, one_zone=True))
    one.submitted(job(2, pieces=4, scatter=True, yard=None, loaners=False, builds=["large"]))
    one.observe_response("run-000001", 201, "queued")
    one.observe_response("run-000002", 201, "queued")
    return one


def on(one: Rules, task: str, machine: str = "m-1", zone: str = "east", spot: bool = False) -> None:
    one.task_started(machine, task, "large", zone, spot)


def cancelled(one: Rules) -> None:
    one.asked_to_cancel.add("run-000001")
    one.observe_response("run-000001", 200, "cancelled")


def late_presence(one: Rules) -> None:
    on(one, "run-000001/0")
    cancelled(one)
    one.loop.now = 30.5
    one.check_cancelled()


def older_answer(one: Rules) -> None:
    cancelled(one)
    one.loop.now = 5.0
    one.observe_response("run-000001", 200, "running", asked=4.9)


def two_ends(one: Rules) -> None:
    """Even on questions asked at once, a job has one end."""
    cancelled(one)
    one.finished |= {f"run-000001/{n}" for n in range(3)}
    one.observe_response("run-000001", 200, "done", asked=-1.0)


def invalid_jobs(one: Rules) -> None:
    one.submitted(job(3, cpus=99.0))
    one.invalid_jobs.add("run-000003")
    one.observe_response("run-000003", 201, "queued")


def waits(one: Rules) -> None:
    one.faults_cleared_at = 0.0
    for now in (0.0, 50.0, 91.0):
        one.loop.now = now
        one.check_waiting(lambda spec: True)


def forgotten(one: Rules) -> None:
    one.faults_cleared_at = 0.0
    for now in (0.0, 76.0):
        one.loop.now = now
        one.observe_response("run-000001", 503, None)


def twice(one: Rules) -> None:
    on(one, "run-000001/0")
    on(one, "run-000001/0", "m-2")


def over_limit(one: Rules) -> None:
    for number in range(3):
        on(one, f"run-000001/{number}")


def two_zones(one: Rules) -> None:
    on(one, "run-000001/0")
    on(one, "run-000001/1", "m-2", "west")


def not_apart(one: Rules) -> None:
    for number in range(3):
        on(one, f"run-000002/{number}")


BREAKS: dict[str, list[Callable[[Rules], object]]] = {
    "ran_twice": [twice],
    "quota": [over_limit],
    "wrong_place": [
        two_zones,
        lambda one: on(one, "run-000002/0", spot=True),
        not_apart,
        lambda one: one.task_started("m-1", "run-000002/0", "small", "east", False),
    ],
    "ran_cancelled": [late_presence],
    "forgotten": [
        forgotten,
        lambda one: one.observe_response("run-000001", 404, None),
        lambda one: one.observe_response("run-000002", 422, None),
    ],
    "invented": [lambda one: one.observe_response("run-000009", 200, "queued")],
    "not_done": [lambda one: one.observe_response("run-000001", 200, "done")],
    "went_back": [older_answer, two_ends, lambda one: one.observe_response("run-000001", 200, "cancelled")],
    "accepted": [invalid_jobs],
    "waits": [waits],
}


@pytest.mark.parametrize(("rule", "number"), [(rule, n) for rule, ways in BREAKS.items() for n in range(len(ways))])
def test_each_check_is_seen_to_fail(rule: str, number: int) -> None:
    one = rules()
    BREAKS[rule][number](one)
    one.loop.close()
    assert {entry.split()[1].rstrip(":") for entry in one.violations} == {rule}


def test_what_keeps_the_rules_breaks_none() -> None:
    one = rules()
    on(one, "run-000001/0")
    on(one, "run-000001/1")
    cancelled(one)
    assert not one.late_starts
    # An answer as old as its question, which was asked before the other was given.
    one.loop.now = 1.0
    one.observe_response("run-000001", 200, "running", asked=-0.5)
    one.task_ended("m-1", "run-000001/0")
    one.task_ended("m-1", "run-000001/1")
    one.loop.now = 40.0
    one.check_cancelled()
    on(one, "run-000001/2")
    one.loop.close()
    assert one.violations and one.violations[0].split()[1] == "ran_cancelled:" and len(one.late_starts) == 1
