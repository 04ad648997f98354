"""Upgrades three controllers on loopback while jobs run, and measures the effect on users.

    PYTHONPATH=src:. python -m tools.upgrade_cluster [--earlier DIR] [--gate off] [--soak 5]

The controllers are real processes; the state service, cloud, workers and users are simulated (`tests/world`).
The controllers start with the version in the checkout DIR, or with this version restricted to the first level, and
are restarted one at a time with this version. Then the newest level is activated, and one controller is rolled
back. Prints a timeline, the latencies that users saw, and any rule violations. See docs/rollout.md.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from elmthread.net.http_client import HttpClient, NoResponseError
from tools.loopback import CALL_TIMEOUT, HOST, RealLoop, SimulatedServices, free_ports, real_loop
from tools.processes import Node
from tools.users import RequestStats, Users

ROOT = Path(__file__).resolve().parent.parent
NODES = ["loom-0", "loom-1", "loom-2"]
MACHINES = 12
# Downtime of each controller, and the time from its restart until the next one is stopped.
DOWNTIME_S, RESTART_INTERVAL_S = 1.0, 4.0
TIMEOUT_S = 120.0


@dataclass
class Options:
    """Options of an upgrade run."""

    earlier: Path | None
    rollout_enabled: bool
    soak_s: float


class Upgrade:
    """One upgrade run: simulated services, users, and three controllers that are upgraded."""

    def __init__(self, loop: RealLoop, folder: Path, options: Options) -> None:
        """Use `folder` for settings files; `run` starts the processes."""
        self._options, self._folder = options, folder
        self._start_time = time.monotonic()
        ports = free_ports(2 * len(NODES))
        self._addresses = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self._peers = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self.services = SimulatedServices(loop, self._addresses, MACHINES)
        self.nodes = {node: Node(node, folder, self._start_time) for node in NODES}
        self.request_stats = {
            "before": RequestStats(),
            "upgrade": RequestStats(),
            "after": RequestStats(),
            "rollback": RequestStats(),
        }
        self._phase = "before"
        self._running_nodes: list[str] = []
        self._users = Users(
            self.services, self._addresses, lambda: self._running_nodes[:], lambda: self.request_stats[self._phase]
        )
        self.events: list[tuple[float, str]] = []

    def _record_event(self, event: str) -> None:
        self.events.append((time.monotonic() - self._start_time, event))

    async def run(self) -> None:
        """Run the upgrade and the rollback, and wait until every job is done."""
        await self.services.start()
        for node in NODES:
            self.nodes[node].settings.write_text(self.services.settings(node, self._peers, 200))
        (self._folder / "rollout.toml").write_text(
            f"[rollout]\nenabled = true\nsoak_s = {self._options.soak_s}\n" if self._options.rollout_enabled else ""
        )
        try:
            await self._run_steps()
        finally:
            for process in self.nodes.values():
                await process.kill()

    async def _run_steps(self) -> None:
        for node in NODES:
            await self._start_earlier_version(node)
        self.services.add_machines(MACHINES)
        await asyncio.sleep(3)
        submit_task = asyncio.get_running_loop().create_task(self._users.submit())
        await asyncio.sleep(5)
        self._phase = "upgrade"
        for node in NODES:
            await self._stop(node)
            await asyncio.sleep(DOWNTIME_S)
            await self._start_this_version(node)
            await asyncio.sleep(RESTART_INTERVAL_S)
        if self._options.rollout_enabled:
            await self._wait_until_level_in_use()
        self._phase = "after"
        await asyncio.sleep(5)
        self._phase = "rollback"
        rolled_back = NODES[0]
        await self._stop(rolled_back)
        await self._start_earlier_version(rolled_back)
        await asyncio.sleep(8)
        self._record_event(f"{rolled_back}, rolled back, answers /ready with {await self._ready_status(rolled_back)}")
        await self._stop(rolled_back)
        await self._start_this_version(rolled_back)
        await asyncio.sleep(5)
        self._record_event(f"{rolled_back}, new again, answers /ready with {await self._ready_status(rolled_back)}")
        submit_task.cancel()
        await self._wait_until_jobs_done()

    # Controllers

    async def _start_earlier_version(self, node: str) -> None:
        source = self._options.earlier
        command = [sys.executable, "-m", "elmthread.cli", "serve"]
        if source is None:
            source = ROOT
            command = [sys.executable, "-m", "tests.world.version_before"]
            command += ["--operators", str(self._folder / "rollout.toml")]
        await self.nodes[node].start(command, source)
        self._running_nodes.append(node)
        self._record_event(f"{node} starts the earlier version")

    async def _start_this_version(self, node: str) -> None:
        operators = ["--operators", str(self._folder / "rollout.toml")]
        await self.nodes[node].start([sys.executable, "-m", "elmthread.cli", "serve", *operators], ROOT)
        self._running_nodes.append(node)
        self._record_event(f"{node} starts this version")

    async def _stop(self, node: str) -> None:
        self._running_nodes.remove(node)
        await self.nodes[node].kill()
        self._record_event(f"{node} is ended")

    async def _ready_status(self, node: str) -> int:
        try:
            return (await HttpClient(self._addresses[node]).call("GET", "/ready", timeout=CALL_TIMEOUT)).status
        except NoResponseError:
            return 0

    async def _wait_until_level_in_use(self) -> None:
        """Wait until every controller has logged that the level is in use."""
        deadline = time.monotonic() + TIMEOUT_S
        while any(node.last_logged_at("is in use here") is None for node in self.nodes.values()):
            if time.monotonic() > deadline:
                raise TimeoutError(f"the level is not in use on every controller after {TIMEOUT_S:g} s")
            await asyncio.sleep(0.02)
        self._record_event("every controller uses the level")

    # Completion of the jobs

    async def _wait_until_jobs_done(self) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            if len(self._users.states) == self._users.count and set(self._users.states.values()) == {"done"}:
                self._record_event(f"all {self._users.count} jobs are done")
                return
            await asyncio.sleep(0.5)
        unfinished_jobs = sorted(job_id for job_id, state in self._users.states.items() if state != "done")
        raise TimeoutError(f"{len(unfinished_jobs)} of {self._users.count} jobs are not done: {unfinished_jobs[:5]}")

    # Report

    def level(self) -> int:
        """Return the active level in the store."""
        stored = self.services.store.items.get("rollout/level")
        return 1 if stored is None else int(stored[0]["level"])

    def durations(self) -> list[str]:
        """Return lines with the times between announcement, activation and use of the level, taken from the logs."""

        def times(text: str) -> list[float]:
            return sorted(logged_at for node in self.nodes.values() for logged_at, line in node.lines if text in line)

        active, announced, in_use = times("is active"), times("are announced"), times("is in use here")
        if not active:
            return ["the level was not raised"]
        last_announced = max(logged_at for logged_at in announced if logged_at <= active[0])
        return [
            f"last announcement to activation: {active[0] - last_announced:.2f} s (soak time {self._options.soak_s} s)",
            f"activation to use by the leader: {in_use[0] - active[0]:.3f} s, "
            f"by all controllers: {in_use[len(NODES) - 1] - active[0]:.3f} s",
        ]

    def report(self) -> list[str]:
        """Return the lines of the report."""
        lines = [f"{event_time:7.2f} s  {event}" for event_time, event in self.events]
        lines += self.durations() if self._options.rollout_enabled else ["the rollout is off"]
        for phase, request_stats in self.request_stats.items():
            lines += [f"users, {phase}:", *request_stats.lines()]
        starts = self.services.rules.starts
        lines.append(f"{sum(starts.values())} starts of {len(starts)} tasks; level {self.level()}")
        lines.append(f"rules broken: {self.services.rules.violations or 'none'}")
        lines.append("said by the node that was rolled back:")
        refusals = [line for _, line in self.nodes[NODES[0]].lines if "does not take part" in line]
        return lines + [f"  {line}" for line in refusals[-1:] or ["nothing"]]


def main() -> int:
    """Run the upgrade once and print the report."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--earlier", type=Path, metavar="DIR", help="a checkout of the version to begin with")
    parser.add_argument("--gate", choices=["on", "off"], default="on", help="whether the rollout is switched on")
    parser.add_argument("--soak", type=float, default=5.0, metavar="SECONDS")
    arguments = parser.parse_args()
    with real_loop() as loop, tempfile.TemporaryDirectory() as folder:
        options = Options(arguments.earlier and arguments.earlier.resolve(), arguments.gate == "on", arguments.soak)
        upgrade = Upgrade(loop, Path(folder), options)
        loop.run_until_complete(upgrade.run())
        print("\n".join(upgrade.report()))
    return 1 if upgrade.services.rules.violations else 0


if __name__ == "__main__":
    sys.exit(main())
