"""A reference model that checks the protocol's rules against what actually runs on machines.

It knows nothing of stored assignments, fencing tokens or leases: only who submitted what, what was reported to
users, and which task is on which machine. It favours simplicity over speed.
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
        self.used_cores: Counter[str] = Counter()  # cores in use, by team
        self.zones_of: dict[str, Counter[str]] = {}  # job -> zones of its tasks
        self.zones: dict[str, str] = {}
        self.finished: set[str] = set()
        # Changes of each job's state as reported to users, with their times.
        self.history: dict[str, list[tuple[float, str]]] = {}
        # Jobs that must never be accepted, since they can't run or lack a field.
        self.invalid_jobs: set[str] = set()
        # Tasks that began after their job was reported as cancelled.
        self.late_starts: list[str] = []
        self.waiting_since: dict[str, float] = {}
        self.cancelled_at: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.violations: list[str] = []
        # Since when requests about a job have not been answered, and since when all faults are cleared.
        self.unanswered_since: dict[str, float] = {}
        self.faults_cleared_at: float | None = None
        self.first_start: dict[str, float] = {}
        self.starts: Counter[str] = Counter()

    def _report_violation(self, rule: str, what: str) -> None:
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
                f"{self.loop.now:.2f} {task} on {machine}, job reported as cancelled at {self.cancelled_at[job]:.2f}"
            )
        if self.machines_of.get(task):
            self._report_violation("ran_twice", f"{task} on {machine}")
        self.machines_of.setdefault(task, []).append(machine)
        self.zones[machine] = zone
        self.used_cores[spec["crew"]] += spec["cpus"]
        if self.used_cores[spec["crew"]] > self.limits[spec["crew"]] + 1e-6:
            self._report_violation("quota", f"{spec['crew']} uses {self.used_cores[spec['crew']]}")
        job_zones = self.zones_of.setdefault(job, Counter())
        job_zones[zone] += 1
        if (
            (spec["builds"] is not None and machine_type not in spec["builds"])
            or (spec["yard"] is not None and zone != spec["yard"])
            or (spot and not spec["loaners"])
            or (spec["one_zone"] and len(+job_zones) > 1)
            or (spec["scatter"] and job_zones[zone] > (spec["pieces"] + 1) // 2)
        ):
            self._report_violation("wrong_place", f"{task} on {machine}")
        self.check_cancelled()

    def task_ended(self, machine: str, task: str) -> None:
        if machine in self.machines_of.get(task, ()):
            job = task.rpartition("/")[0]
            self.machines_of[task].remove(machine)
            self.used_cores[self.specs[job]["crew"]] -= self.specs[job]["cpus"]
            self.zones_of[job][self.zones[machine]] -= 1

    def serving(self, job: str) -> int:
        """Return how many replicas of a service are on machines now."""
        return sum(len(machines) for task, machines in self.machines_of.items() if task.rpartition("/")[0] == job)

    @property
    def running(self) -> list[tuple[str, str]]:
        """Return (machine, task) for each task on a machine now."""
        return [(machine, task) for task, machines in self.machines_of.items() for machine in machines]

    def completed(self, task: str) -> None:
        self.finished.add(task)

    def check_cancelled(self) -> None:
        overdue = {job for job, at in self.cancelled_at.items() if self.loop.now > at + self.cancel_s}
        for job in overdue:
            if +self.zones_of.get(job, Counter()):
                for machine, task in self.running:
                    if task.rpartition("/")[0] == job:
                        self._report_violation("ran_cancelled", f"{task} on {machine}")

    def observe_response(self, job: str, status: int, state: str | None, asked: float | None = None) -> None:
        """Check the response to a request about a job that was sent at `asked`, by any user to any node.

        It may show the state as of that time, but must not contradict what was reported before.
        """
        asked = self.loop.now if asked is None else asked
        previous = next((reported for at, reported in reversed(self.history.get(job, [])) if at <= asked), None)
        self._check_answered(job, status, previous)
        if status not in (200, 201) or state is None or job not in self.specs:
            return
        if job in self.invalid_jobs:
            self._report_violation("accepted", f"{job}, which can't run or lacks a field")
        if state == "done":
            self._check_done(job)
        if previous in ("done", "cancelled") and state != previous:
            self._report_violation("went_back", f"{job}: {previous} then {state}")
        final_states = {reported for _, reported in self.history.get(job, []) if reported in ("done", "cancelled")}
        if state in ("done", "cancelled") and final_states - {state}:
            self._report_violation("went_back", f"{job}: {final_states} and {state}")
        if state == "cancelled":
            if job not in self.asked_to_cancel:
                self._report_violation("went_back", f"{job} cancelled without a request")
            self.cancelled_at.setdefault(job, self.loop.now)
        if not self.history.get(job) or self.history[job][-1][1] != state:
            self.history.setdefault(job, []).append((self.loop.now, state))

    def _check_answered(self, job: str, status: int, previous: str | None) -> None:
        """Check that an accepted job remains known, and that no job is known that was never submitted."""
        if status in (200, 201):
            self.unanswered_since.pop(job, None)
        elif previous is not None and previous != "cancelled":
            since = self.unanswered_since.setdefault(job, self.loop.now)
            if self.faults_cleared_at is not None and self.loop.now - max(since, self.faults_cleared_at) > 75:
                self._report_violation("forgotten", f"{job}: no request answered since {since:.1f}")
        if status in (200, 201) and job not in self.specs:
            self._report_violation("invented", job)
        if status in (400, 404, 422) and previous is not None:
            self._report_violation("forgotten", f"{job} got {status}")

    def _check_done(self, job: str) -> None:
        spec = self.specs[job]
        if spec["form"] != "batch":
            self._report_violation("not_done", f"{job} is a service")
        missing = [n for n in range(spec["pieces"]) if f"{job}/{n}" not in self.finished]
        if missing:
            self._report_violation("not_done", f"{job}: {missing[:5]}")

    @property
    def reported_states(self) -> dict[str, str]:
        """Return the last reported state of each job."""
        return {job: states[-1][1] for job, states in self.history.items()}

    def check_waiting(self, room: Callable[[dict[str, Any]], bool]) -> None:
        """Check that no job waits for 90 s while a suitable machine has room, once all faults are cleared.

        `room` returns whether some available machine has room for a task of a spec.
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
            since = self.waiting_since.setdefault(job, self.loop.now) if waits else None
            if since is None:
                self.waiting_since.pop(job, None)
            elif self.faults_cleared_at is not None and self.loop.now - max(since, self.faults_cleared_at) > 90:
                self._report_violation("waits", f"{job} since {since:.1f}")
                self.waiting_since[job] = self.loop.now
