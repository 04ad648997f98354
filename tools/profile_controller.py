"""Measures one controller's CPU time and memory in each phase of a run.

    PYTHONPATH=src python -m tools.profile_controller [--machines 600] [--jobs 150] [--profile DIR]

The controller runs as a separate process; the state service, the cloud, the workers and the users are
simulated (`tests/world`) and use loopback. Prints the CPU time of each phase and the requests in it; with
`--profile` also the share of each component, which the profiler overstates for code that calls many small
functions. See docs/operations.md.
"""

import argparse
import asyncio
import os
import pstats
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from elmthread.net.http_client import HttpClient, NoResponseError
from tools.loopback import CALL_TIMEOUT, HOST, RealLoop, SimulatedServices
from tools.users import RequestStats, UserLoad, Users

ROOT = Path(__file__).resolve().parent.parent
NODE = "loom-0"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READY_TIMEOUT_S = 60.0
LOAD = UserLoad(tasks=40, task_s=20.0, poll_interval_s=5.0, polls=100, idle_connections=16)
OUTAGE_S = 8.0

COMPONENTS = (
    ("net/http_client", "calls of our own"),
    ("net/", "requests and answers"),
    ("httptools", "requests and answers"),
    ("h11", "calls of our own"),
    ("cbor2", "CBOR"),
    ("workers/", "reports and commands"),
    ("msgspec", "decoding of messages"),
    ("placement/", "placement"),
    ("cluster/", "cluster state"),
    ("autoscaling/", "autoscaling"),
    ("machines/", "machines and cloud"),
    ("store/", "records"),
    ("api/", "users"),
    ("leadership/", "lease"),
    ("peers/", "other controllers"),
    ("elmthread/common", "clock, load, states"),
    ("asyncio", "event loop"),
    ("selectors", "event loop"),
    ("importlib", "imports"),
)


@dataclass
class Phase:
    """Wall time, CPU time and peak memory of a phase, and the requests during it."""

    name: str
    wall_s: float
    cpu_s: float
    memory_mb: float
    requests: Counter[str]


class ControllerProcess:
    """The controller under measurement, a separate process."""

    def __init__(self, settings: Path, output: Path | None) -> None:
        """Start the process; if `output` is given, with a profiler that writes to that directory."""
        command = [sys.executable, "-m", "tools.profiled_controller", str(output), str(settings)]
        if output is None:
            command = [sys.executable, "-S", str(ROOT / "target/app/run.py"), "--config", str(settings)]
        environment = os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        self._process = subprocess.Popen(command, env=environment, cwd=ROOT)
        self._output = output
        self._phases = 0

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the peak resident memory so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    async def end_phase(self) -> Path | None:
        """End the present phase; return the path of its profile, or None if profiling is off."""
        if self._output is None:
            return None
        path = self._output / f"{self._phases}.prof"
        self._phases += 1
        self._process.send_signal(signal.SIGUSR1)
        while not path.exists():
            await asyncio.sleep(0.05)
        return path

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()


class Measurement:
    """The simulated services of the controller, and the phases of the run."""

    def __init__(self, loop: RealLoop, machines: int, jobs: int, output: Path | None) -> None:
        """Write profiles to the directory `output`; None disables profiling."""
        self._machines, self._jobs, self._output = machines, jobs, output
        self._address = f"{HOST}:18080"
        self._services = SimulatedServices(loop, {NODE: self._address}, machines)
        self._counts = self._services.counts
        self._client = HttpClient(self._address)
        self._stats = RequestStats()
        self._users = Users(self._services, {NODE: self._address}, lambda: [NODE], lambda: self._stats, LOAD)
        self.phases: list[tuple[Phase, Path | None]] = []

    async def run(self) -> None:
        """Run all phases in order."""
        with tempfile.TemporaryDirectory() as folder:
            settings = await self._start_services(Path(folder))
            controller = self._start(settings, "first")
            await self._run_phase(controller, "start", self._wait_until_ready())
            await self._run_phase(
                controller, "opening rush, all workers come at once", self._submit_while_machines_start()
            )
            await self._run_phase(controller, "steady", self._submit(self._jobs, LOAD.task_s))
            await self._run_phase(controller, "outage of the state service", self._outage())
            await self._run_phase(controller, "end of the outage", asyncio.sleep(5))
            controller.kill()
            controller = self._start(settings, "second")
            await self._run_phase(controller, "start and load", self._wait_until_ready())
            await self._run_phase(controller, "after the load", asyncio.sleep(10))
            controller.kill()

    def _start(self, settings: Path, name: str) -> ControllerProcess:
        if self._output is None:
            return ControllerProcess(settings, None)
        output = self._output / name
        output.mkdir(parents=True)
        return ControllerProcess(settings, output)

    async def _start_services(self, folder: Path) -> Path:
        await self._services.start()
        settings = folder / "settings.toml"
        settings.write_text(self._services.settings(NODE, {NODE: f"{HOST}:18081"}, self._machines * 3))
        return settings

    async def _run_phase(self, controller: ControllerProcess, name: str, work: Any) -> None:
        self._counts.clear()
        self._stats = RequestStats()
        start_time, start_cpu_s = time.monotonic(), controller.cpu_s()
        await work
        wall_s, cpu_s = time.monotonic() - start_time, controller.cpu_s() - start_cpu_s
        requests = Counter(self._counts) + Counter(
            {f"users' {event}": count for event, count in self._stats.counts.items()}
        )
        phase = Phase(name, wall_s, cpu_s, controller.memory_mb(), requests)
        self.phases.append((phase, await controller.end_phase()))

    # Phases

    async def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if (await self._client.call("GET", "/ready", timeout=CALL_TIMEOUT)).status == 200:
                    return
            except NoResponseError:
                pass
            await asyncio.sleep(0.02)
        raise TimeoutError(f"the controller was not ready within {READY_TIMEOUT_S:g} s")

    async def _submit_while_machines_start(self) -> None:
        """Submit half of the jobs before all machines start, and the other half while they start."""
        await self._submit(self._jobs // 2, 5.0)
        self._services.add_machines(self._machines)
        await self._submit(self._jobs // 2, 5.0)

    async def _submit(self, jobs: int, duration_s: float) -> None:
        for _ in range(jobs):
            self._users.submit_one()
            await asyncio.sleep(duration_s / jobs)

    async def _outage(self) -> None:
        self._services.store.outage(True)
        await asyncio.sleep(OUTAGE_S)
        self._services.store.outage(False)


def component_of(path: str) -> str | None:
    """Return the component of a source file, or None for built-in functions, which are attributed to their callers."""
    if path == "~":
        return None
    return next((component for part, component in COMPONENTS if part in path), "the rest")


def shares(profile: Path) -> list[tuple[str, float]]:
    """Return each component's share of the CPU time, in descending order."""
    stats: Any = pstats.Stats(str(profile))
    times: Counter[str] = Counter()
    for (path, _, name), (_, _, self_time, _, callers) in stats.stats.items():
        if "select.epoll" in name or "select.poll" in name:
            continue
        component = component_of(path)
        if component is not None:
            times[component] += self_time
            continue
        for (caller, _, _), caller_stats in callers.items():
            times[component_of(caller) or _built_in_component(name)] += caller_stats[2]
    total = sum(times.values()) or 1.0
    return [(component, component_time / total) for component, component_time in times.most_common()]


def _built_in_component(name: str) -> str:
    return next((component for part, component in COMPONENTS if part.rstrip("/") in name), "the rest")


def report(phase: Phase, profile: Path | None) -> None:
    """Print the results of one phase."""
    cpu_percent = phase.cpu_s / phase.wall_s * 100
    print(f"\n{phase.name}: {phase.cpu_s:.2f} s of processor in {phase.wall_s:.1f} s ({cpu_percent:.1f}% of a core)")
    print(f"  memory so far: {phase.memory_mb:.1f} MB at the most")
    heartbeats = phase.requests["reports"]
    if heartbeats:
        print(f"  {phase.cpu_s / heartbeats * 1e6:.0f} us of processor a report, all else included")
    print("  " + ", ".join(f"{count} {request}" for request, count in sorted(phase.requests.items())))
    if profile is not None:
        print("  " + ", ".join(f"{component} {share:.0%}" for component, share in shares(profile) if share >= 0.01))
        print(f"  profile: {profile}")


def main() -> None:
    """Run all phases and print their results."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--machines", type=int, default=600)
    parser.add_argument(
        "--jobs", type=int, default=150, help=f"submitted at the opening, and again each {LOAD.task_s:.0f} s"
    )
    parser.add_argument("--profile", type=Path, metavar="DIR", help="write profiles to this new directory")
    options = parser.parse_args()
    loop = RealLoop()
    asyncio.set_event_loop(loop)
    measurement = Measurement(loop, options.machines, options.jobs, options.profile)
    loop.run_until_complete(measurement.run())
    for phase, profile in measurement.phases:
        report(phase, profile)


if __name__ == "__main__":
    main()
