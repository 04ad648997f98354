"""The stored formats of a machine's assignments: which tasks may be on it, with which attempts.

These records are the bulk of a leader's writes. The first format lists each task with its attempt. The second
one (`Feature.ASSIGNMENT_RUNS`) lists runs, as tasks that are placed together mostly have consecutive numbers
and consecutive attempts. It lacks a field of the first format (`build`), so versions that can't read it reject it.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from elmthread.common.features import Feature, SupportedLevels
from elmthread.store.job_spec import MAX_TASKS_PER_JOB


class MachineRecord(msgspec.Struct, omit_defaults=True, rename={"machine_type": "build"}):
    """A machine and the tasks that may be on it, one by one."""

    machine_type: str
    zone: str
    spot: bool
    # Whether the machine belongs to the deferrable pool; likewise in `AssignmentRunsRecord`.
    pool: bool = False
    # job id -> task, attempt, task, attempt, ...
    holds: dict[str, list[int]] = {}


class AssignmentRunsRecord(msgspec.Struct, omit_defaults=True, rename={"machine_type": "type"}):
    """A machine and the tasks that may be on it, as runs."""

    machine_type: str
    zone: str
    spot: bool
    pool: bool = False
    # Offset that is added to each attempt in `runs`.
    base: int = 0
    # job id -> first task, first attempt, number of tasks; first task, ...
    runs: dict[str, list[int]] = {}


def read_machine(value: Any, supported: SupportedLevels) -> MachineRecord:
    """Decode a stored machine into the first format. Raises ValueError for a record that this process can't read."""
    if not (isinstance(value, dict) and "runs" in value and supported.reads(Feature.ASSIGNMENT_RUNS)):
        return msgspec.convert(value, MachineRecord)
    record = msgspec.convert(value, AssignmentRunsRecord)
    holds = {job_id: list(_decode_runs(numbers, record.base)) for job_id, numbers in record.runs.items()}
    return MachineRecord(record.machine_type, record.zone, record.spot, record.pool, holds)


def as_runs(record: MachineRecord) -> AssignmentRunsRecord:
    """Convert the machine to the second format; it must hold at least one task."""
    base = min(min(numbers[1::2]) for numbers in record.holds.values())
    runs = {job_id: _encode_runs(numbers, base) for job_id, numbers in record.holds.items()}
    return AssignmentRunsRecord(record.machine_type, record.zone, record.spot, record.pool, base, runs)


def _encode_runs(numbers: list[int], base: int) -> list[int]:
    """Return the runs of tasks whose numbers and attempts both increase by one."""
    encoded: list[int] = []
    next_task = next_attempt = -1
    for task, attempt in sorted(zip(numbers[::2], numbers[1::2], strict=True)):
        if task == next_task and attempt == next_attempt:
            encoded[-1] += 1
        else:
            encoded += (task, attempt - base, 1)
        next_task, next_attempt = task + 1, attempt + 1
    return encoded


def _decode_runs(numbers: list[int], base: int) -> Iterator[int]:
    """Yield task, attempt, task, attempt, ... of all runs."""
    for task, attempt, count in zip(numbers[::3], numbers[1::3], numbers[2::3], strict=True):
        if min(task, attempt) < 0 or not 1 <= count <= MAX_TASKS_PER_JOB:
            raise ValueError(f"invalid run: task {task}, attempt {attempt}, {count} tasks")
        for step in range(count):
            yield task + step
            yield base + attempt + step
