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
from tools.loopback import CALL_TIME, HOST, RealLoop, StandIns, free_ports, real_loop
from tools.processes import Node
from tools.users import Users, Waits

ROOT = Path(__file__).resolve().parent.parent
NODES = ["loom-0", "loom-1", "loom-2"]
MACHINES = 12
# Downtime of each controller, and the time from its restart until the next one is stopped.
AWAY_S, TURN_S = 1.0, 4.0
PATIENCE_S = 120.0


@dataclass
class Options:
    """Options of an upgrade run."""

    earlier: Path | None
    gate: bool
    soak_s: float


class Upgrade:
    """One upgrade run: simulated services, users, and three controllers that are upgraded."""

    def __init__(self, loop: RealLoop, folder: Path, options: Options) -> None:
        """Use `folder` for settings files; `run` starts the processes."""
        self._options, self._folder = options, folder
        self._began = time.monotonic()
        ports = free_ports(2 * len(NODES))
        self._addresses = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self._peers = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self.stand_ins = StandIns(loop, self._addresses, MACHINES)
        self.nodes = {node: Node(node, folder, self._began) for node in NODES}
        self.waits = {"before": Waits(), "upgrade": Waits(), "after": Waits(), "rollback": Waits()}
        self._phase = "before"
        self._up: list[str] = []
        self._users = Users(self.stand_ins, self._addresses, lambda: self._up[:], lambda: self.waits[self._phase])
        self.happened: list[tuple[float, str]] = []

    def _note(self, what: str) -> None:
        self.happened.append((time.monotonic() - self._began, what))

    async def run(self) -> None:
        """Run the upgrade and the rollback, and wait until every job is done."""
        await self.stand_ins.start()
        for node in NODES:
            self.nodes[node].settings.write_text(self.stand_ins.settings(node, self._peers, 200))
        (self._folder / "rollout.toml").write_text(
            f"[rollout]\nenabled = true\nsoak_s = {self._options.soak_s}\n" if self._options.gate else ""
        )
        try:
            await self._steps()
        finally:
            for process in self.nodes.values():
                await process.kill()

    async def _steps(self) -> None:
        for node in NODES:
            await self._start_earlier(node)
        self.stand_ins.add_machines(MACHINES)
        await asyncio.sleep(3)
        users = asyncio.get_running_loop().create_task(self._users.submit())
        await asyncio.sleep(5)
        self._phase = "upgrade"
        for node in NODES:
            await self._stop(node)
            await asyncio.sleep(AWAY_S)
            await self._start_new(node)
            await asyncio.sleep(TURN_S)
        if self._options.gate:
            await self._until_in_use()
        self._phase = "after"
        await asyncio.sleep(5)
        self._phase = "rollback"
        back = NODES[0]
        await self._stop(back)
        await self._start_earlier(back)
        await asyncio.sleep(8)
        self._note(f"{back}, rolled back, answers /ready with {await self._ready(back)}")
        await self._stop(back)
        await self._start_new(back)
        await asyncio.sleep(5)
        self._note(f"{back}, new again, answers /ready with {await self._ready(back)}")
        users.cancel()
        await self._until_over()

    # Controllers

    async def _start_earlier(self, node: str) -> None:
        source = self._options.earlier
        command = [sys.executable, "-m", "elmthread.cli", "serve"]
        if source is None:
            source = ROOT
            command = [sys.executable, "-m", "tests.world.version_before"]
            command += ["--operators", str(self._folder / "rollout.toml")]
        await self.nodes[node].start(command, source)
        self._up.append(node)
        self._note(f"{node} starts the earlier version")

    async def _start_new(self, node: str) -> None:
        operators = ["--operators", str(self._folder / "rollout.toml")]
        await self.nodes[node].start([sys.executable, "-m", "elmthread.cli", "serve", *operators], ROOT)
        self._up.append(node)
        self._note(f"{node} starts this version")

    async def _stop(self, node: str) -> None:
        self._up.remove(node)
        await self.nodes[node].kill()
        self._note(f"{node} is ended")

    async def _ready(self, node: str) -> int:
        try:
            return (await HttpClient(self._addresses[node]).call("GET", "/ready", timeout=CALL_TIME)).status
        except NoResponseError:
            return 0

    async def _until_in_use(self) -> None:
        """Wait until every controller has logged that the level is in use."""
        end = time.monotonic() + PATIENCE_S
        while any(node.when("is in use here") is None for node in self.nodes.values()):
            if time.monotonic() > end:
                raise TimeoutError(f"the level is not in use on every controller after {PATIENCE_S:g} s")
            await asyncio.sleep(0.02)
        self._note("every controller uses the level")

    # Completion of the jobs

    async def _until_over(self) -> None:
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            if len(self._users.states) == self._users.count and set(self._users.states.values()) == {"done"}:
                self._note(f"all {self._users.count} jobs are done")
                return
            await asyncio.sleep(0.5)
        open_jobs = sorted(job_id for job_id, state in self._users.states.items() if state != "done")
        raise TimeoutError(f"{len(open_jobs)} of {self._users.count} jobs are not done: {open_jobs[:5]}")

    # Report

    def level(self) -> int:
        """Return the active level in the store."""
        stored = self.stand_ins.store.items.get("rollout/level")
        return 1 if stored is None else int(stored[0]["level"])

    def durations(self) -> list[str]:
        """Return lines with the times between announcement, activation and use of the level, taken from the logs."""

        def times(text: str) -> list[float]:
            return sorted(at for node in self.nodes.values() for at, line in node.lines if text in line)

        active, announced, used = times("is active"), times("are announced"), times("is in use here")
        if not active:
            return ["the level was not raised"]
        last = max(at for at in announced if at <= active[0])
        return [
            f"last announcement to activation: {active[0] - last:.2f} s (soak time {self._options.soak_s} s)",
            f"activation to use by the leader: {used[0] - active[0]:.3f} s, "
            f"by all controllers: {used[len(NODES) - 1] - active[0]:.3f} s",
        ]

    def report(self) -> list[str]:
        """Return the lines of the report."""
        lines = [f"{at:7.2f} s  {what}" for at, what in self.happened]
        lines += self.durations() if self._options.gate else ["the rollout is off"]
        for phase, waits in self.waits.items():
            lines += [f"users, {phase}:", *waits.lines()]
        starts = self.stand_ins.rules.starts
        lines.append(f"{sum(starts.values())} starts of {len(starts)} tasks; level {self.level()}")
        lines.append(f"rules broken: {self.stand_ins.rules.broken or 'none'}")
        lines.append("said by the node that was rolled back:")
        refusals = [line for _, line in self.nodes[NODES[0]].lines if "does not take part" in line]
        return lines + [f"  {line}" for line in refusals[-1:] or ["nothing"]]


def main() -> int:
    """Run the upgrade once and print the report."""
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("--earlier", type=Path, metavar="DIR", help="a checkout of the version to begin with")
    arguments.add_argument("--gate", choices=["on", "off"], default="on", help="whether the rollout is switched on")
    arguments.add_argument("--soak", type=float, default=5.0, metavar="SECONDS")
    given = arguments.parse_args()
    with real_loop() as loop, tempfile.TemporaryDirectory() as folder:
        options = Options(given.earlier and given.earlier.resolve(), given.gate == "on", given.soak)
        upgrade = Upgrade(loop, Path(folder), options)
        loop.run_until_complete(upgrade.run())
        print("\n".join(upgrade.report()))
    return 1 if upgrade.stand_ins.rules.broken else 0


if __name__ == "__main__":
    sys.exit(main())
