"""A strict reference reader of stored records and peer messages, as the version in production reads them.

Written from that version's record types, and checked against samples that it wrote itself
(`tests/samples/production.json`). It rejects a value of a wrong type, a missing field, an unknown field and
an unknown form of job: until every node runs the new version, nodes of the new version must write nothing
that the earlier one would read incompletely or with another meaning.
"""

import json
from dataclasses import dataclass, field
from typing import Any

JOB = {"state": str, "tasks": int, "at": float, "chunk": int, "spec": dict}
SPEC = {
    "name_id": str,
    "docket": str,
    "crew": str,
    "form": str,
    "urgency": str,
    "pieces": int,
    "cpus": float,
    "cards": float,
    "ram_gb": float,
    "kit": str,
    "size_gb": float,
    "one_zone": bool,
    "scatter": bool,
    "loaners": bool,
    "expected_s": float,
    "snapshot_every_s": float,
    "snapshot_s": float,
    "builds": list,
    "yard": str,
    "due_s": float,
}
SPEC_OPTIONAL = {"builds", "yard", "due_s"}
MACHINE = {"build": str, "zone": str, "spot": bool, "pool": bool, "holds": dict}
RENTAL = {"build": str, "zone": str, "spot": bool, "pool": bool}
TYPE = {
    "name": str,
    "cpus": float,
    "cards": float,
    "ram_gb": float,
    "cache_gb": float,
    "fetch_gb_per_s": float,
    "rate": float,
    "spot_price": float,
    "ready_s": float,
    "yards": list,
}
FRAMES = {
    "lead": {"leader": (str, type(None)), "token": int, "node": str, "strays": int, "some": list, "machines": int},
    "ask": {
        "number": int,
        "verb": str,
        "job_id": str,
        "token": int,
        "body": (dict, type(None)),
        "fault": (str, type(None)),
    },
    "reply": {
        "number": int,
        "status": int,
        "body": (dict, type(None)),
        "retry_after_s": (float, type(None)),
        "token": int,
    },
}


class UnreadableError(Exception):
    """The earlier version would reject this, or read it with another meaning."""


@dataclass
class View:
    """The state that a leader of the earlier version would load."""

    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    done: dict[str, set[int]] = field(default_factory=dict)
    machines: dict[str, dict[str, Any]] = field(default_factory=dict)
    # (machine, job/task) for each assignment, except for jobs and tasks that are done.
    holds: set[tuple[str, str]] = field(default_factory=set)
    types: list[dict[str, Any]] = field(default_factory=list)


def check_fields(what: str, value: Any, known: dict[str, Any], needed: set[str]) -> dict[str, Any]:
    if not isinstance(value, dict) or not needed <= value.keys():
        raise UnreadableError(f"{what}: {value!r}")
    for name, found in value.items():
        if name not in known:
            raise UnreadableError(f"{what}: unknown field {name}")
        expected = known[name]
        int_for_float = expected is float and isinstance(found, int)
        if isinstance(found, bool) is not (expected is bool) or not (isinstance(found, expected) or int_for_float):
            raise UnreadableError(f"{what}: {name} is {found!r}")
    return value


def frame(text: str) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(text)
    kind = value.pop("kind")
    return check_fields(kind, value, FRAMES[kind], {"token"} if kind == "lead" else {"number"})


def newest_records(store: dict[str, Any]) -> dict[str, Any]:
    """Return each record as in the page with the highest number that contains it; null there means deleted."""
    found: dict[str, tuple[int, Any]] = {}
    for key, value in store.items():
        if not key.startswith("s/"):
            continue
        page = check_fields(key, value, {"number": int, "text": str}, {"number", "text"})
        for name, record in json.loads(page["text"]).items():
            if name not in found or found[name][0] < page["number"]:
                found[name] = (page["number"], record)
    return {name: record for name, (_, record) in found.items() if record is not None}


def read(store: dict[str, Any]) -> View:
    """Read the whole store as a leader of the earlier version would. Raises UnreadableError."""
    view = View()
    records = newest_records(store)
    for key, record in records.items():
        if key.startswith("j/"):
            view.jobs[key[2:]] = _read_job(key, record)
    for key, record in records.items():
        if key.startswith("d/"):
            _read_done(view, key, record)
        elif key.startswith("m/"):
            _read_machine(view, key, record)
        elif key.startswith("r/"):
            check_fields(key, record, RENTAL, {"build", "zone", "spot"})
        elif key.startswith("t/"):
            view.types = [check_fields(key, one, TYPE, set(TYPE)) for one in record]
    return view


def _read_job(key: str, record: Any) -> dict[str, Any]:
    check_fields(key, record, JOB, {"state", "tasks"})
    if record["state"] not in ("open", "done", "cancelled"):
        raise UnreadableError(f"{key}: {record['state']}")
    if record["state"] != "done":
        spec = check_fields(key, record["spec"], SPEC, SPEC.keys() - SPEC_OPTIONAL)
        if spec["form"] != "batch":
            raise UnreadableError(f"{key}: form {spec['form']}")
    job: dict[str, Any] = record
    return job


def _read_done(view: View, key: str, record: Any) -> None:
    _, job_id, chunk = key.split("/")
    job = view.jobs.get(job_id)
    if job is not None and job["state"] == "open":
        bits = int.from_bytes(bytes.fromhex(check_fields(key, record, {"marks": str}, {"marks"})["marks"]), "little")
        low = int(chunk) * job["chunk"]
        marked = {low + n for n in range(bits.bit_length()) if bits >> n & 1}
        view.done.setdefault(job_id, set()).update(n for n in marked if n < job["tasks"])


def _read_machine(view: View, key: str, record: Any) -> None:
    machine = check_fields(key, record, MACHINE, {"build", "zone", "spot"})
    view.machines[key[2:]] = machine
    for job_id, numbers in machine.get("holds", {}).items():
        if len(numbers) % 2 or not all(isinstance(number, int) for number in numbers):
            raise UnreadableError(f"{key}: {numbers}")
        state = view.jobs.get(job_id, {"state": "done"})["state"]
        view.holds |= {
            (key[2:], f"{job_id}/{task}")
            for task in numbers[::2]
            if state != "done" and task not in view.done.get(job_id, ())
        }
