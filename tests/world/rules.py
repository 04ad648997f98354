"""The slow plain model: the protocol's rules, judged on what really happens on machines.

It knows nothing of holds, tokens or leases: only who submitted what, what was reported to users,
and which task is on which machine. Every event is checked the plain way.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from tests.world.loop import SimLoop


class Rules:
    def __init__(self, loop: SimLoop, limits: dict[str, float], cancel_s: float) -> None:
        self.loop = loop
        self.limits = limits
        self.cancel_s = cancel_s
        self.specs: dict[str, dict[str, Any]] = {}
        self.machines_of: dict[str, list[str]] = {}  # task -> machines that it is on now
        self.used_cores: Counter[str] = Counter()  # cores, by team
        self.zones_of: dict[str, Counter[str]] = {}  # job -> zones of its tasks
        self.zones: dict[str, str] = {}
        self.finished: set[str] = set()
        # The states of each job that were reported to users, and when, where they changed.
        self.history: dict[str, list[tuple[float, str]]] = {}
        # Jobs that must never be accepted, as they can't run or lack a field.
        self.invalid_jobs: set[str] = set()
        # Tasks that began after their job was reported as cancelled.
        self.late_starts: list[str] = []
        self.waiting: dict[str, float] = {}
        self.cancelled_at: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.violations: list[str] = []
        # Since when a job's questions have gone unanswered, and since when there is no trouble.
        self.unanswered: dict[str, float] = {}
        self.faults_cleared_at: float | None = None
        self.first_start: dict[str, float] = {}
        self.starts: Counter[str] = Counter()

    def _break(self, rule: str, what: str) -> None:
        self.violations.append(f"{self.loop.now:.2f} {rule}: {what}")

    def submitted(self, spec: dict[str, Any]) -> None:
        self.specs[spec["name_id"]] = spec

    def task_started(self, machine: str, task: str, machine_type: str, zone: str, spot: bool) -> None:
        job = task.rpartition("/")[0]
        spec = self.specs[job]
        self.starts[task] += 1
        self.first_start.setdefault(job, self.loop.now)
        if job in self.cancelled_at:
            self.late_starts.append(
                f"{self.loop.now:.2f} {task} on {machine}, reported at {self.cancelled_at[job]:.2f}"
            )
        if self.machines_of.get(task):
            self._break("ran_twice", f"{task} on {machine}")
        self.machines_of.setdefault(task, []).append(machine)
        self.zones[machine] = zone
        self.used_cores[spec["crew"]] += spec["cpus"]
        if self.used_cores[spec["crew"]] > self.limits[spec["crew"]] + 1e-6:
            self._break("quota", f"{spec['crew']} uses {self.used_cores[spec['crew']]}")
        mine = self.zones_of.setdefault(job, Counter())
        mine[zone] += 1
        if (
            (spec["builds"] is not None and machine_type not in spec["builds"])
            or (spec["yard"] is not None and zone != spec["yard"])
            or (spot and not spec["loaners"])
            or (spec["one_zone"] and len(+mine) > 1)
            or (spec["scatter"] and mine[zone] > (spec["pieces"] + 1) // 2)
        ):
            self._break("wrong_place", f"{task} on {machine}")
        self.check_cancelled()

    def task_ended(self, machine: str, task: str) -> None:
        if machine in self.machines_of.get(task, ()):
            job = task.rpartition("/")[0]
            self.machines_of[task].remove(machine)
            self.used_cores[self.specs[job]["crew"]] -= self.specs[job]["cpus"]
            self.zones_of[job][self.zones[machine]] -= 1

    def serving(self, job: str) -> int:
        """How many of a service's replicas are on machines now."""
        return sum(len(machines) for task, machines in self.machines_of.items() if task.rpartition("/")[0] == job)

    @property
    def running(self) -> list[tuple[str, str]]:
        """(machine, task) for all that is on machines now."""
        return [(machine, task) for task, machines in self.machines_of.items() for machine in machines]

    def completed(self, task: str) -> None:
        self.finished.add(task)

    def check_cancelled(self) -> None:
        late = {job for job, at in self.cancelled_at.items() if self.loop.now > at + self.cancel_s}
        for job in late:
            if +self.zones_of.get(job, Counter()):
                for machine, task in self.running:
                    if task.rpartition("/")[0] == job:
                        self._break("ran_cancelled", f"{task} on {machine}")

    def observe_response(self, job: str, status: int, state: str | None, asked: float | None = None) -> None:
        """Judge the response to a user's request about a job that was sent at `asked`, by any user to any node.

        An answer may be as old as its question: what was reported before that, nothing may go back on.
        """
        asked = self.loop.now if asked is None else asked
        before = next((reported for at, reported in reversed(self.history.get(job, [])) if at <= asked), None)
        self._check_answered(job, status, before)
        if status not in (200, 201) or state is None or job not in self.specs:
            return
        if job in self.invalid_jobs:
            self._break("accepted", f"{job}, which can't run or lacks a field")
        if state == "done":
            self._check_done(job)
        if before in ("done", "cancelled") and state != before:
            self._break("went_back", f"{job}: {before} then {state}")
        ends = {reported for _, reported in self.history.get(job, []) if reported in ("done", "cancelled")}
        if state in ("done", "cancelled") and ends - {state}:
            self._break("went_back", f"{job}: {ends} and {state}")
        if state == "cancelled":
            if job not in self.asked_to_cancel:
                self._break("went_back", f"{job} cancelled unasked")
            self.cancelled_at.setdefault(job, self.loop.now)
        if not self.history.get(job) or self.history[job][-1][1] != state:
            self.history.setdefault(job, []).append((self.loop.now, state))

    def _check_answered(self, job: str, status: int, before: str | None) -> None:
        """Whether a job is known for as long as it was accepted, and none that was not."""
        if status in (200, 201):
            self.unanswered.pop(job, None)
        elif before is not None and before != "cancelled":
            since = self.unanswered.setdefault(job, self.loop.now)
            if self.faults_cleared_at is not None and self.loop.now - max(since, self.faults_cleared_at) > 75:
                self._break("forgotten", f"{job}: no question answered since {since:.1f}")
        if status in (200, 201) and job not in self.specs:
            self._break("invented", job)
        if status in (400, 404, 422) and before is not None:
            self._break("forgotten", f"{job} got {status}")

    def _check_done(self, job: str) -> None:
        spec = self.specs[job]
        if spec["form"] != "batch":
            self._break("not_done", f"{job} is a service")
        missing = [n for n in range(spec["pieces"]) if f"{job}/{n}" not in self.finished]
        if missing:
            self._break("not_done", f"{job}: {missing[:5]}")

    @property
    def reported_states(self) -> dict[str, str]:
        """The state reported last, by job."""
        return {job: states[-1][1] for job, states in self.history.items()}

    def check_waiting(self, room: Callable[[dict[str, Any]], bool]) -> None:
        """Once all troubles are over, no job waits for 90 s while a machine that fits has room.

        `room` says whether some machine that serves has it for a task of that spec.
        """
        for job, spec in self.specs.items():
            state = self.reported_states.get(job)
            on = +self.zones_of.get(job, Counter())
            waits = (
                state in ("queued", "running")
                and spec["form"] == "batch"
                and not on
                and any(f"{job}/{n}" not in self.finished for n in range(spec["pieces"]))
                and self.used_cores[spec["crew"]] + spec["cpus"] <= self.limits[spec["crew"]]
                and room(spec)
            )
            since = self.waiting.setdefault(job, self.loop.now) if waits else None
            if since is None:
                self.waiting.pop(job, None)
            elif self.faults_cleared_at is not None and self.loop.now - max(since, self.faults_cleared_at) > 90:
                self._break("waits", f"{job} since {since:.1f}")
                self.waiting[job] = self.loop.now
