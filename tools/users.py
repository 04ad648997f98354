"""Users of a cluster on loopback: they submit jobs, ask for their state, and what they notice is counted."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from elmthread.net.http_client import ClientResponse, HttpClient, NoResponseError
from tests.world.specs import job, sent
from tools.loopback import CALL_TIME, StandIns

# A user submits a job each so many seconds, of so many tasks, which take so long.
JOB_EVERY_S, TASKS, TASK_S = 0.5, 8, 6.0
# Bounds of the histograms, in milliseconds, and their significant digits.
SHORTEST_MS, LONGEST_MS, DIGITS = 1, 60_000, 3
# Attempts of a user, a second apart; the protocol lets one try for 60 s.
ATTEMPTS = 60
LATE_MS = 1000


@dataclass
class Waits:
    """What users noticed in one phase."""

    submissions: Any = field(default_factory=lambda: HdrHistogram(SHORTEST_MS, LONGEST_MS, DIGITS))
    polls: Any = field(default_factory=lambda: HdrHistogram(SHORTEST_MS, LONGEST_MS, DIGITS))
    counts: Counter[str] = field(default_factory=Counter)

    def lines(self) -> list[str]:
        """For the report."""
        found = []
        for name, histogram in (("submissions", self.submissions), ("polls", self.polls)):
            total = histogram.get_total_count()
            at = ", ".join(f"p{part:g} {histogram.get_value_at_percentile(part)} ms" for part in (50, 90, 99, 100))
            found.append(f"  {total} {name} answered: {at}" if total else f"  no {name}")
        found.append("  " + (", ".join(f"{count} {what}" for what, count in sorted(self.counts.items())) or "all well"))
        return found


class Users:
    """Submissions and polls through a stand-in load balancer."""

    def __init__(
        self,
        stand_ins: StandIns,
        addresses: dict[str, str],
        up: Callable[[], list[str]],
        waits: Callable[[], Waits],
    ) -> None:
        """`up` names the nodes that the load balancer takes for healthy, `waits` says what to count in now."""
        self._stand_ins, self._addresses = stand_ins, addresses
        self._up, self._waits = up, waits
        # Jobs submitted, and the last state that was told of each.
        self.count = 0
        self.ends: dict[str, str] = {}

    async def submit(self) -> None:
        """Submits a job every now and then, for ever, and follows each to its end."""
        while True:
            spec = job(self.count, pieces=TASKS, expected_s=TASK_S, true_s=TASK_S)
            self.count += 1
            self._stand_ins.rules.submitted(spec)
            asyncio.get_running_loop().create_task(self._follow(spec))
            await asyncio.sleep(JOB_EVERY_S)

    async def _follow(self, spec: dict[str, Any]) -> None:
        job_id, waits = spec["name_id"], self._waits()
        began = time.monotonic()
        for _ in range(ATTEMPTS):
            answer = await self._ask(job_id, "POST", "/submissions", sent(spec))
            if answer is not None and answer.status in (200, 201):
                break
            waits.counts["submissions tried again"] += 1
            await asyncio.sleep(1)
        else:
            waits.counts["submissions given up"] += 1
            return
        took_ms = (time.monotonic() - began) * 1000
        waits.submissions.record_value(max(SHORTEST_MS, round(took_ms)))
        waits.counts["submissions that took over 1 s"] += took_ms > LATE_MS
        while self.ends.get(job_id) != "done":
            await asyncio.sleep(2)
            await self._poll(job_id)

    async def _poll(self, job_id: str) -> None:
        waits, began = self._waits(), time.monotonic()
        answer = await self._ask(job_id, "GET", f"/submissions/{job_id}", None)
        if answer is None or answer.status != 200:
            waits.counts["polls without an answer"] += 1
            return
        waits.polls.record_value(max(SHORTEST_MS, round((time.monotonic() - began) * 1000)))
        self.ends[job_id] = answer.body["status"]

    async def _ask(self, job_id: str, method: str, path: str, body: Any) -> ClientResponse | None:
        """As through a load balancer: another node is asked where one refuses the connection or is not ready."""
        asked = asyncio.get_running_loop().time()
        answer = None
        for node in self._up():
            try:
                answer = await HttpClient(self._addresses[node]).call(method, path, body, timeout=CALL_TIME)
            except NoResponseError:
                continue
            if answer.status != 503:
                break
        if answer is not None:
            state = answer.body.get("status") if isinstance(answer.body, dict) else None
            self._stand_ins.rules.observe_response(job_id, answer.status, state, asked)
        return answer
