"""Users of a cluster on loopback: they submit jobs, ask for their state, and what they notice is counted."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from elmthread.net.http_client import ClientResponse, HttpClient, NoResponseError
from tests.world.specs import job, submission_body
from tools.loopback import CALL_TIME, StandIns

# Bounds of the histograms, in milliseconds, and their significant digits.
MIN_WAIT_MS, MAX_WAIT_MS, DIGITS = 1, 60_000, 3
# Attempts of a submission, a second apart: the protocol allows 60 s.
MAX_ATTEMPTS = 60
SLOW_SUBMISSION_MS = 1000


@dataclass
class Waits:
    """How long users waited in one phase, and what else they noticed."""

    submissions: Any = field(default_factory=lambda: HdrHistogram(MIN_WAIT_MS, MAX_WAIT_MS, DIGITS))
    polls: Any = field(default_factory=lambda: HdrHistogram(MIN_WAIT_MS, MAX_WAIT_MS, DIGITS))
    counts: Counter[str] = field(default_factory=Counter)

    def lines(self) -> list[str]:
        """Return lines for a report."""
        found = []
        for name, histogram in (("submissions", self.submissions), ("polls", self.polls)):
            total = histogram.get_total_count()
            at = ", ".join(f"p{part:g} {histogram.get_value_at_percentile(part)} ms" for part in (50, 90, 99, 100))
            found.append(f"  {total} {name} answered: {at}" if total else f"  no {name}")
        found.append("  " + (", ".join(f"{count} {what}" for what, count in sorted(self.counts.items())) or "all well"))
        return found


@dataclass(frozen=True)
class UserLoad:
    """What users submit and how they follow it."""

    # Time between two submissions of `Users.submit`.
    submit_interval_s: float = 0.5
    tasks: int = 8
    task_s: float = 6.0
    poll_interval_s: float = 2.0
    # So many polls, whatever the state; None: until the job is done.
    polls: int | None = None
    # Connections that are kept open to each node; 0: a new one for each request.
    idle_connections: int = 0


USUAL_LOAD = UserLoad()


class Users:
    """Users that submit jobs and poll their state through a stand-in load balancer."""

    def __init__(
        self,
        stand_ins: StandIns,
        addresses: dict[str, str],
        healthy: Callable[[], list[str]],
        waits: Callable[[], Waits],
        load: UserLoad = USUAL_LOAD,
    ) -> None:
        """`healthy` names the nodes to which requests may go now, `waits` says where they are counted now."""
        self._stand_ins, self._load = stand_ins, load
        self._healthy, self._waits = healthy, waits
        self._clients = {node: HttpClient(address, load.idle_connections) for node, address in addresses.items()}
        # Jobs submitted, and the last state that was returned for each.
        self.count = 0
        self.states: dict[str, str] = {}

    async def submit(self) -> None:
        """Submit a job at each interval, until cancelled, and follow each."""
        while True:
            self.submit_one()
            await asyncio.sleep(self._load.submit_interval_s)

    def submit_one(self) -> None:
        """Submit a job and follow it in the background."""
        spec = job(self.count, pieces=self._load.tasks, expected_s=self._load.task_s, true_s=self._load.task_s)
        self.count += 1
        self._stand_ins.rules.submitted(spec)
        asyncio.get_running_loop().create_task(self._follow(spec))

    async def _follow(self, spec: dict[str, Any]) -> None:
        job_id, waits = spec["name_id"], self._waits()
        began = time.monotonic()
        for _ in range(MAX_ATTEMPTS):
            answer = await self._ask(job_id, "POST", "/submissions", submission_body(spec))
            if answer is not None and answer.status in (200, 201):
                break
            waits.counts["submissions tried again"] += 1
            await asyncio.sleep(1)
        else:
            waits.counts["submissions given up"] += 1
            return
        took_ms = (time.monotonic() - began) * 1000
        waits.submissions.record_value(max(MIN_WAIT_MS, round(took_ms)))
        waits.counts["submissions that took over 1 s"] += took_ms > SLOW_SUBMISSION_MS
        polled = 0
        while self.states.get(job_id) != "done" if self._load.polls is None else polled < self._load.polls:
            await asyncio.sleep(self._load.poll_interval_s)
            await self._poll(job_id)
            polled += 1

    async def _poll(self, job_id: str) -> None:
        waits, began = self._waits(), time.monotonic()
        answer = await self._ask(job_id, "GET", f"/submissions/{job_id}", None)
        if answer is None or answer.status != 200:
            waits.counts["polls without an answer"] += 1
            return
        waits.polls.record_value(max(MIN_WAIT_MS, round((time.monotonic() - began) * 1000)))
        self.states[job_id] = answer.body["status"]

    async def _ask(self, job_id: str, method: str, path: str, body: Any) -> ClientResponse | None:
        """Ask as through a load balancer: another node where one refuses the connection or is not ready."""
        self._waits().counts["requests"] += 1
        asked = asyncio.get_running_loop().time()
        answer = None
        for node in self._healthy():
            try:
                answer = await self._clients[node].call(method, path, body, timeout=CALL_TIME)
            except NoResponseError:
                continue
            if answer.status != 503:
                break
        if answer is not None:
            state = answer.body.get("status") if isinstance(answer.body, dict) else None
            self._stand_ins.rules.observe_response(job_id, answer.status, state, asked)
        return answer
