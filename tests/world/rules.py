"""The slow plain model: the protocol's rules, judged on what really happens on machines.

It knows nothing of holds, tokens or leases: only who submitted what, what users were told,
and which task is on which machine. Every event is checked the plain way.
"""

from collections import Counter
from typing import Any

from tests.world.loop import SimLoop


class Rules:
    def __init__(self, loop: SimLoop, limits: dict[str, float], cancel_s: float) -> None:
        self.loop = loop
        self.limits = limits
        self.cancel_s = cancel_s
        self.specs: dict[str, dict[str, Any]] = {}
        self.where: list[tuple[str, str]] = []  # (machine, task) pairs, on their machines now
        self.zones: dict[str, str] = {}
        self.finished: set[str] = set()
        self.told: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.broken: list[str] = []
        self.starts: Counter[str] = Counter()

    def _break(self, rule: str, what: str) -> None:
        self.broken.append(f"{self.loop.now:.2f} {rule}: {what}")

    def submitted(self, spec: dict[str, Any]) -> None:
        self.specs[spec["name_id"]] = spec

    def on(self, machine: str, task: str, build: str, zone: str, spot: bool) -> None:
        job = task.rpartition("/")[0]
        spec = self.specs[job]
        self.starts[task] += 1
        if any(name == task for _, name in self.where):
            self._break("ran_twice", f"{task} on {machine}")
        self.where.append((machine, task))
        self.zones[machine] = zone
        used = sum(
            self.specs[name.rpartition("/")[0]]["cpus"]
            for _, name in self.where
            if self.specs[name.rpartition("/")[0]]["crew"] == spec["crew"]
        )
        if used > self.limits[spec["crew"]] + 1e-6:
            self._break("quota", f"{spec['crew']} uses {used}")
        mine = [self.zones[m] for m, name in self.where if name.rpartition("/")[0] == job]
        if (
            (spec["builds"] is not None and build not in spec["builds"])
            or (spec["yard"] is not None and zone != spec["yard"])
            or (spot and not spec["loaners"])
            or (spec["one_zone"] and len(set(mine)) > 1)
            or (spec["scatter"] and mine.count(zone) > (spec["pieces"] + 1) // 2)
        ):
            self._break("wrong_place", f"{task} on {machine}")
        self.check_cancelled()

    def off(self, machine: str, task: str) -> None:
        if (machine, task) in self.where:
            self.where.remove((machine, task))

    def completed(self, task: str) -> None:
        self.finished.add(task)

    def check_cancelled(self) -> None:
        for machine, task in self.where:
            at = self.cancelled_at.get(task.rpartition("/")[0])
            if at is not None and self.loop.now > at + self.cancel_s:
                self._break("ran_cancelled", f"{task} on {machine}")

    def heard(self, job: str, status: int, state: str | None) -> None:
        """A user was answered about a job."""
        before = self.told.get(job)
        if status == 200 and job not in self.specs:
            self._break("invented", job)
        if status in (400, 404, 422) and before is not None:
            self._break("forgotten", f"{job} got {status}")
        if status not in (200, 201) or state is None:
            return
        if state == "done":
            spec = self.specs[job]
            missing = [n for n in range(spec["pieces"]) if f"{job}/{n}" not in self.finished]
            if missing:
                self._break("not_done", f"{job}: {missing[:5]}")
        if before in ("done", "cancelled") and state != before:
            self._break("went_back", f"{job}: {before} then {state}")
        if state == "cancelled":
            if job not in self.asked_to_cancel:
                self._break("went_back", f"{job} cancelled unasked")
            self.cancelled_at.setdefault(job, self.loop.now)
        self.told[job] = state
