"""Both stored formats of assignments preserve the list of tasks and attempts."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.common.clock import ZERO
from elmthread.common.features import SUPPORTED, ActiveFeatures, SupportedLevels
from elmthread.persistence.records import machine_record
from elmthread.store.machine_records import AssignmentRunsRecord, MachineRecord, read_machine
from elmthread.store.pages import json_text

LEVEL_1 = SupportedLevels(1, 1)


class FakeAllocation:
    """Stands in for an allocation, with the fields that the record is made from."""

    def __init__(self, job_id: str, task: int, attempt: int) -> None:
        self.job = type("Job", (), {"id": job_id})
        self.task, self.attempt = task, attempt


def machine_with(assigned: list[tuple[str, int, int]]) -> Machine:
    machine = Machine("m-000001", InstanceKind("small", "east", True), MachineState.UP, ZERO)
    machine.in_deferrable_pool = True
    for assignment_fields in assigned:
        machine.allocations[assignment_fields[2]] = FakeAllocation(*assignment_fields)  # type: ignore[assignment]
    return machine


def features_at_level(number: int) -> ActiveFeatures:
    features = ActiveFeatures()
    features.raise_level(number)
    return features


def assignments_in(record: MachineRecord) -> set[tuple[str, int, int]]:
    return {
        (job_id, numbers[index], numbers[index + 1])
        for job_id, numbers in record.holds.items()
        for index in range(0, len(numbers), 2)
    }


# Runs of tasks of a few jobs, of one term or of several, and single tasks.
runs = st.tuples(
    st.sampled_from(["run-1", "run-2", "run-000412"]), st.integers(0, 999), st.integers(1, 40), st.integers(1, 3)
)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.lists(runs, max_size=8), st.integers(1, 10**6))
def test_assignments_survive_both_formats_and_the_second_takes_no_more_bytes(
    generated: list[Any], fencing_token: int
) -> None:
    assigned: dict[int, tuple[str, int, int]] = {}
    attempt = fencing_token * 10_000_000
    for job_id, first, count, term in generated:
        for step in range(count):
            attempt += 1
            number = attempt + term * 10_000_000
            assigned[number] = (job_id, first + step, number)
    machine = machine_with(list(assigned.values()))
    old, new = machine_record(machine, features_at_level(1)), machine_record(machine, features_at_level(2))
    assert isinstance(old, MachineRecord)
    assert len(json_text(new)) <= len(json_text(old))
    for record, supported in ((old, LEVEL_1), (old, SUPPORTED), (new, SUPPORTED)):
        read = read_machine(msgspec.to_builtins(record), supported)
        assert assignments_in(read) == set(assigned.values())
        assert (read.machine_type, read.zone, read.spot, read.pool) == ("small", "east", True, True)


def test_tasks_placed_together_take_one_run() -> None:
    machine = machine_with([("run-000001", 40 + n, 7_000_000_100 + n) for n in range(50)])
    record = machine_record(machine, features_at_level(2))
    assert isinstance(record, AssignmentRunsRecord) and record.runs == {"run-000001": [40, 0, 50]}
    # A version that does not support the format rejects it, and does not treat the machine as empty.
    with pytest.raises(ValueError):
        read_machine(msgspec.to_builtins(record), LEVEL_1)


@pytest.mark.parametrize("numbers", [[1, 2], [0, 0, 0], [0, 0, -3], [-1, 0, 2], [0, -1, 2], [0, 0, 10**7], ["a", 0, 1]])
def test_numbers_that_are_not_a_run_are_rejected(numbers: list[Any]) -> None:
    value = {"type": "small", "zone": "east", "spot": True, "base": 5, "runs": {"run-000001": numbers}}
    with pytest.raises(ValueError):
        read_machine(value, SUPPORTED)
