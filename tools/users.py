"""Simulated users of a cluster on loopback, which submit jobs, poll their state and record latencies."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from elmthread.net.http_client import ClientResponse, HttpClient, NoResponseError
from tests.world.specs import job, submission_body
from tools.loopback import CALL_TIMEOUT, SimulatedServices

# Bounds of the latency histograms in milliseconds, and their number of significant digits.
MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS = 1, 60_000, 3
# Attempts per submission, at intervals of 1 s: the protocol allows 60 s.
MAX_ATTEMPTS = 60
SLOW_SUBMISSION_MS = 1000


@dataclass
class RequestStats:
    """Latencies of users' requests in one phase, and counts of requests and failures."""

    submissions: Any = field(default_factory=lambda: HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS))
    polls: Any = field(default_factory=lambda: HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS))
    counts: Counter[str] = field(default_factory=Counter)

    def lines(self) -> list[str]:
        """Return the statistics as lines of a report."""
        report = []
        for name, histogram in (("submissions", self.submissions), ("polls", self.polls)):
            total = histogram.get_total_count()
            percentiles = ", ".join(
                f"p{percentile:g} {histogram.get_value_at_percentile(percentile)} ms"
                for percentile in (50, 90, 99, 100)
            )
            report.append(f"  {total} {name} answered: {percentiles}" if total else f"  no {name}")
        report.append(
            "  " + (", ".join(f"{count} {event}" for event, count in sorted(self.counts.items())) or "all well")
        )
        return report


@dataclass(frozen=True)
class UserLoad:
    """The jobs that users submit, and how they poll them."""

    # Interval between submissions in `Users.submit`.
    submit_interval_s: float = 0.5
    tasks: int = 8
    task_s: float = 6.0
    poll_interval_s: float = 2.0
    # Number of polls per job, whatever its state; None: poll until the job is done.
    polls: int | None = None
    # Idle connections kept open to each node; 0: a new connection for each request.
    idle_connections: int = 0


DEFAULT_LOAD = UserLoad()


class Users:
    """Users that submit jobs and poll their state through a simulated load balancer."""

    def __init__(
        self,
        services: SimulatedServices,
        addresses: dict[str, str],
        healthy_nodes: Callable[[], list[str]],
        current_stats: Callable[[], RequestStats],
        load: UserLoad = DEFAULT_LOAD,
    ) -> None:
        """Send requests to the nodes that `healthy_nodes` returns, and record them in what `current_stats` returns."""
        self._services, self._load = services, load
        self._healthy_nodes, self._current_stats = healthy_nodes, current_stats
        self._clients = {node: HttpClient(address, load.idle_connections) for node, address in addresses.items()}
        # Number of jobs submitted, and the last state received for each job.
        self.count = 0
        self.states: dict[str, str] = {}

    async def submit(self) -> None:
        """Submit a job at each interval until cancelled, and poll each one."""
        while True:
            self.submit_one()
            await asyncio.sleep(self._load.submit_interval_s)

    def submit_one(self) -> None:
        """Submit a job and poll it in a background task."""
        spec = job(self.count, pieces=self._load.tasks, expected_s=self._load.task_s, true_s=self._load.task_s)
        self.count += 1
        self._services.rules.submitted(spec)
        asyncio.get_running_loop().create_task(self._submit_and_poll(spec))

    async def _submit_and_poll(self, spec: dict[str, Any]) -> None:
        job_id, stats = spec["name_id"], self._current_stats()
        start_time = time.monotonic()
        for _ in range(MAX_ATTEMPTS):
            response = await self._request(job_id, "POST", "/submissions", submission_body(spec))
            if response is not None and response.status in (200, 201):
                break
            stats.counts["submissions tried again"] += 1
            await asyncio.sleep(1)
        else:
            stats.counts["submissions given up"] += 1
            return
        elapsed_ms = (time.monotonic() - start_time) * 1000
        stats.submissions.record_value(max(MIN_LATENCY_MS, round(elapsed_ms)))
        stats.counts["submissions that took over 1 s"] += elapsed_ms > SLOW_SUBMISSION_MS
        poll_count = 0
        while self.states.get(job_id) != "done" if self._load.polls is None else poll_count < self._load.polls:
            await asyncio.sleep(self._load.poll_interval_s)
            await self._poll(job_id)
            poll_count += 1

    async def _poll(self, job_id: str) -> None:
        stats, start_time = self._current_stats(), time.monotonic()
        response = await self._request(job_id, "GET", f"/submissions/{job_id}", None)
        if response is None or response.status != 200:
            stats.counts["polls without an answer"] += 1
            return
        stats.polls.record_value(max(MIN_LATENCY_MS, round((time.monotonic() - start_time) * 1000)))
        self.states[job_id] = response.body["status"]

    async def _request(self, job_id: str, method: str, path: str, body: Any) -> ClientResponse | None:
        """Send a request as a load balancer does: try the next node if one does not respond or returns 503."""
        self._current_stats().counts["requests"] += 1
        sent_at = asyncio.get_running_loop().time()
        response = None
        for node in self._healthy_nodes():
            try:
                response = await self._clients[node].call(method, path, body, timeout=CALL_TIMEOUT)
            except NoResponseError:
                continue
            if response.status != 503:
                break
        if response is not None:
            state = response.body.get("status") if isinstance(response.body, dict) else None
            self._services.rules.observe_response(job_id, response.status, state, sent_at)
        return response
