"""Runs three controller processes on loopback and injects faults into their links.

    PYTHONPATH=src:. python -m tools.cut_links                   runs a cluster for manual use until Ctrl-C
    PYTHONPATH=src:. python -m tools.cut_links SCHEDULE.toml     submits jobs, cuts links, and prints a timeline

The state service, cloud, workers and users are simulated (`tests/world`). The links between controllers, to the
state service and from the workers pass through forwarders. A schedule is a list of faults
(`tests/world/links.py`; docs/reachability.md has an example). Exit code 0: every job is done and no rule was
violated; 1: otherwise; 2: the schedule is invalid.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from elmthread.net.http_messages import Request, Response
from elmthread.reachability.command import ANNOUNCEMENT_TIMEOUT, NoAnnouncementError, describe, read_announcement
from tests.world.earlier_reader import newest_records
from tests.world.links import STORE, WORKERS, Fault, InvalidScheduleError, LinkFaults, SchedulePlayer, read_schedule
from tests.world.settings import ZONES
from tools.forwarder import Forwarder
from tools.loopback import HOST, RealLoop, SimulatedServices, free_ports, real_loop
from tools.processes import Node
from tools.users import RequestStats, Users

ROOT = Path(__file__).resolve().parent.parent
NODES = ["loom-0", "loom-1", "loom-2"]
MACHINES, MAX_CONNECTIONS = 8, 200
# SETTLE_S: delay before the first fault, so that the controllers have exchanged link views and some jobs run.
SETTLE_S, SOAK_S = 8.0, 1.0
TIMEOUT_S = 120.0
CHECK_INTERVAL_S = 0.5


class ForwardedServices(SimulatedServices):
    """Simulated services whose workers reach each controller through the forwarder of their zone."""

    def __init__(self, loop: RealLoop, controllers: dict[str, str], machines: int) -> None:
        """Start without routes; each forwarder's address is added, by zone and node, when it starts."""
        super().__init__(loop, controllers, machines)
        self.routes: dict[tuple[str, str], str] = {}

    async def _send_heartbeat(self, name: str, node: str, request: Request) -> Response:
        zone = self._workers[name].zone if name in self._workers else ZONES[0]
        return await self._send_heartbeat_to(name, node, self.routes[zone, node], request)


class Cluster:
    """Controller processes, simulated services, and a forwarder on each link."""

    def __init__(self, loop: RealLoop, folder: Path) -> None:
        """Use `folder` for settings files; `start` starts the processes."""
        self._loop, self.folder = loop, folder
        self._start_time = time.monotonic()
        ports = free_ports(2 * len(NODES))
        self.addresses = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self.peers = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self.faults = LinkFaults()
        self.services = ForwardedServices(loop, self.addresses, MACHINES)
        self.nodes = {node: Node(node, folder, self._start_time) for node in NODES}
        self.request_stats = RequestStats()
        self.users = Users(self.services, self.addresses, lambda: list(NODES), lambda: self.request_stats)
        self._printed_lines: dict[str, list[str]] = {}

    def log(self, message: str) -> None:
        """Print one line of the timeline."""
        print(f"{time.monotonic() - self._start_time:7.2f} s  {message}", flush=True)

    async def start(self) -> None:
        """Start all services and processes; the controllers may take a few seconds to become ready."""
        await self.services.start()
        for node in NODES:
            for zone in ZONES:
                starting_forwarder = self._start_forwarder(f"{WORKERS}/{zone}", node, self.addresses[node])
                self.services.routes[zone, node] = await starting_forwarder
            await self._write_settings(node)
        operators = self.folder / "rollout.toml"
        operators.write_text(f"[rollout]\nenabled = true\nsoak_s = {SOAK_S}\n")
        for process in self.nodes.values():
            command = [sys.executable, "-m", "elmthread.cli", "serve", "--operators", str(operators)]
            await process.start(command, ROOT)
        self.services.add_machines(MACHINES)

    async def _write_settings(self, node: str) -> None:
        peers = {other: await self._start_forwarder(node, other, self.peers[other]) for other in NODES if other != node}
        text = self.services.settings(node, peers | {node: self.peers[node]}, MAX_CONNECTIONS)
        store = self.services.store_address
        self.nodes[node].settings.write_text(text.replace(store, await self._start_forwarder(node, STORE, store)))

    async def _start_forwarder(self, source: str, target: str, address: str) -> str:
        return await Forwarder(self.faults, source, target, HOST, address).start()

    async def stop(self) -> None:
        """Kill every controller process."""
        for node in self.nodes.values():
            await node.kill()

    def register_submitted_jobs(self) -> None:
        """Register jobs that were submitted by external clients, so that the simulated workers can run them."""
        rules = self.services.rules
        for key, record in newest_records(self.services.store.values()).items():
            if key.startswith("j/") and "spec" in record and key.removeprefix("j/") not in rules.specs:
                spec = record["spec"]
                optional_fields = {"builds": None, "yard": None, "due_s": None}
                rules.submitted(optional_fields | spec | {"true_s": spec["expected_s"] or float("inf")})

    async def watch(self) -> None:
        """Print each change of a controller's link states or known leader, until cancelled."""
        while True:
            for node in NODES:
                try:
                    announcement = await read_announcement(self.peers[node], ANNOUNCEMENT_TIMEOUT)
                except NoAnnouncementError:
                    continue
                # Omits tokens, confirmed links, and the ages of confirmations, which change all the time.
                lines = [line.split(", last")[0].split(", token")[0].strip() for line in describe(node, announcement)]
                lines = [lines[0], *(line for line in lines[1:] if "confirmed" not in line.split(": ")[-1])]
                if lines != self._printed_lines.get(node):
                    self._printed_lines[node] = lines
                    self.log("; ".join(lines))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def play(self, faults: list[Fault]) -> None:
        """Play a fault schedule to its end."""

        def log_change(event: str, fault: Fault, pairs: list[tuple[str, str]]) -> None:
            arrow = "<->" if fault.get("both") else "->"
            links = ", ".join(f"{source} {arrow} {target}" for source, target in pairs)
            self.log(f"{event}: {fault.get('kind', 'drop')} {fault['from']} {arrow} {fault['to']} ({links})")

        await SchedulePlayer(self.faults, NODES, self._leader, log_change).play(faults)

    def _leader(self) -> str:
        terms = [
            (logged_at, node.name)
            for node in self.nodes.values()
            if (logged_at := node.last_logged_at("leading with token")) is not None
        ]
        return max(terms)[1] if terms else NODES[0]

    async def wait_until_finished(self) -> bool:
        """Wait until every submitted job is done; return False on timeout."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            if len(self.users.states) == self.users.count and set(self.users.states.values()) <= {"done"}:
                return True
            await asyncio.sleep(CHECK_INTERVAL_S)
        return False


async def run_until_interrupted(cluster: Cluster) -> int:
    """Run the cluster until interrupted."""
    node = NODES[0]
    print(f"settings file:     {cluster.nodes[node].settings}")
    for verb, argument in (("submit", "job.json"), ("status", "run-000001"), ("cancel", "run-000001")):
        print(f"elmthread {verb} --server {cluster.addresses[node]} {argument}")
    print(f"elmthread links --config {cluster.nodes[node].settings}")
    print("Ctrl-C ends it.", flush=True)
    while True:
        cluster.register_submitted_jobs()
        await asyncio.sleep(CHECK_INTERVAL_S / 2)


async def play(cluster: Cluster, faults: list[Fault]) -> int:
    """Submit jobs, play the schedule and print the final state of each job; return the exit code."""
    watch_task = asyncio.create_task(cluster.watch())
    await asyncio.sleep(SETTLE_S / 2)
    submit_task = asyncio.create_task(cluster.users.submit())
    await asyncio.sleep(SETTLE_S / 2)
    await cluster.play(faults)
    submit_task.cancel()
    cluster.log("the schedule is over; waiting for the jobs")
    finished = await cluster.wait_until_finished()
    watch_task.cancel()
    final_states = cluster.users.states
    states: Counter[str] = Counter(final_states.values())
    print(f"{cluster.users.count} jobs: {', '.join(f'{count} {state}' for state, count in states.items())}")
    for job_id, state in sorted(final_states.items()):
        print(f"  {job_id}: {state}")
    print("\n".join(cluster.request_stats.lines()))
    rules = cluster.services.rules
    print(
        f"{sum(rules.starts.values())} starts of {len(rules.starts)} tasks; rules broken: {rules.violations or 'none'}"
    )
    return 0 if finished and not rules.violations else 1


async def run(loop: RealLoop, folder: Path, faults: list[Fault] | None) -> int:
    """Start the cluster, play the schedule if there is one, and kill all processes."""
    cluster = Cluster(loop, folder)
    try:
        await cluster.start()
        return await (run_until_interrupted(cluster) if faults is None else play(cluster, faults))
    finally:
        await cluster.stop()


def main(arguments: list[str] | None = None) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("schedule", nargs="?", type=Path, metavar="SCHEDULE.toml")
    options = parser.parse_args(arguments)
    faults: Any = None
    if options.schedule is not None:
        try:
            faults = read_schedule(options.schedule)
        except InvalidScheduleError as error:
            print(f"cut_links: {error}", file=sys.stderr)
            return 2
    with real_loop() as loop, tempfile.TemporaryDirectory() as folder:
        run_task = loop.create_task(run(loop, Path(folder), faults))
        try:
            return loop.run_until_complete(run_task)
        except KeyboardInterrupt:
            run_task.cancel()
            loop.run_until_complete(asyncio.wait([run_task]))
            return 130


if __name__ == "__main__":
    sys.exit(main())
