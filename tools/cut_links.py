"""Three real controllers on loopback whose links can be cut.

    PYTHONPATH=src:. python -m tools.cut_links                   a cluster to try elmthread on, until Ctrl-C
    PYTHONPATH=src:. python -m tools.cut_links SCHEDULE.toml     submits jobs, cuts links, and prints a timeline

State service, cloud, workers and users are the stand-ins of `tests/world`; a forwarder stands on each link. A
schedule is a list of faults (`tests/world/links.py`; docs/reachability.md has an example). Exit code 0: every
job came to its end and no rule was broken, 1: not so, 2: the schedule can't be played.
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
from tests.world.earlier import newest
from tests.world.links import STORE, WORKERS, BadScheduleError, Fault, LinkFaults, SchedulePlayer, read_schedule
from tests.world.settings import ZONES
from tools.forwarder import Forwarder
from tools.loopback import HOST, RealLoop, StandIns, free_ports, real_loop
from tools.processes import Node
from tools.users import Users, Waits

ROOT = Path(__file__).resolve().parent.parent
NODES = ["loom-0", "loom-1", "loom-2"]
MACHINES, MAX_CONNECTIONS = 8, 200
# Before the first fault: until the views of the links are exchanged and some jobs run.
SETTLE_S, SOAK_S = 8.0, 1.0
PATIENCE_S = 120.0
LOOK_EVERY_S = 0.5


class CutWorkers(StandIns):
    """Stand-ins whose workers reach each controller through the forwarder of their zone."""

    def __init__(self, loop: RealLoop, controllers: dict[str, str], machines: int) -> None:
        """The forwarders' addresses, by zone and node, are entered as they start."""
        super().__init__(loop, controllers, machines)
        self.routes: dict[tuple[str, str], str] = {}

    async def _report(self, name: str, node: str, request: Request) -> Response:
        zone = self._workers[name].zone if name in self._workers else ZONES[0]
        return await self._report_to(name, node, self.routes[zone, node], request)


class Cluster:
    """Controllers, stand-ins, and a forwarder on each link."""

    def __init__(self, loop: RealLoop, folder: Path) -> None:
        """Settings are written to the folder."""
        self._loop, self.folder = loop, folder
        self._began = time.monotonic()
        ports = free_ports(2 * len(NODES))
        self.addresses = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self.peers = {node: f"{HOST}:{ports.pop()}" for node in NODES}
        self.faults = LinkFaults()
        self.stand_ins = CutWorkers(loop, self.addresses, MACHINES)
        self.nodes = {node: Node(node, folder, self._began) for node in NODES}
        self.waits = Waits()
        self.users = Users(self.stand_ins, self.addresses, lambda: list(NODES), lambda: self.waits)
        self._told: dict[str, list[str]] = {}

    def say(self, what: str) -> None:
        """One line of the timeline."""
        print(f"{time.monotonic() - self._began:7.2f} s  {what}", flush=True)

    async def start(self) -> None:
        """Starts everything, and waits until the controllers say that they are ready."""
        await self.stand_ins.start()
        for node in NODES:
            for zone in ZONES:
                worker_link = self._forward(f"{WORKERS}/{zone}", node, self.addresses[node])
                self.stand_ins.routes[zone, node] = await worker_link
            await self._write_settings(node)
        operators = self.folder / "rollout.toml"
        operators.write_text(f"[rollout]\nenabled = true\nsoak_s = {SOAK_S}\n")
        for process in self.nodes.values():
            command = [sys.executable, "-m", "elmthread.cli", "serve", "--operators", str(operators)]
            await process.start(command, ROOT)
        self.stand_ins.add_machines(MACHINES)

    async def _write_settings(self, node: str) -> None:
        peers = {other: await self._forward(node, other, self.peers[other]) for other in NODES if other != node}
        text = self.stand_ins.settings(node, peers | {node: self.peers[node]}, MAX_CONNECTIONS)
        store = self.stand_ins.store_address
        self.nodes[node].settings.write_text(text.replace(store, await self._forward(node, STORE, store)))

    async def _forward(self, source: str, target: str, address: str) -> str:
        return await Forwarder(self.faults, source, target, HOST, lambda: address).start()

    async def stop(self) -> None:
        """Ends every process."""
        for node in self.nodes.values():
            await node.kill()

    def learn_jobs(self) -> None:
        """Tells the workers of jobs that were submitted from outside, as they would fetch them from their users."""
        rules = self.stand_ins.rules
        for key, record in newest(self.stand_ins.store.values()).items():
            if key.startswith("j/") and "spec" in record and key.removeprefix("j/") not in rules.specs:
                spec = record["spec"]
                open_fields = {"builds": None, "yard": None, "due_s": None}
                rules.submitted(open_fields | spec | {"true_s": spec["expected_s"] or float("inf")})

    async def watch(self) -> None:
        """Prints each change of what a controller says of its links, and who leads."""
        while True:
            for node in NODES:
                try:
                    found = await read_announcement(self.peers[node], ANNOUNCEMENT_TIMEOUT)
                except NoAnnouncementError:
                    continue
                # Without the ages, which change all the time.
                lines = [line.split(", last")[0].split(", token")[0].strip() for line in describe(node, found)]
                lines = [lines[0], *(line for line in lines[1:] if "confirmed" not in line.split(": ")[-1])]
                if lines != self._told.get(node):
                    self._told[node] = lines
                    self.say("; ".join(lines))
            await asyncio.sleep(LOOK_EVERY_S)

    async def play(self, faults: list[Fault]) -> None:
        """Plays a schedule."""

        def changed(what: str, fault: Fault, pairs: list[tuple[str, str]]) -> None:
            arrow = "<->" if fault.get("both") else "->"
            links = ", ".join(f"{one} {arrow} {other}" for one, other in pairs)
            self.say(f"{what}: {fault.get('kind', 'drop')} {fault['from']} {arrow} {fault['to']} ({links})")

        await SchedulePlayer(self.faults, NODES, self._leader, changed).play(faults)

    def _leader(self) -> str:
        terms = [(at, node.name) for node in self.nodes.values() if (at := node.when("leading with token")) is not None]
        return max(terms)[1] if terms else NODES[0]

    async def until_over(self) -> bool:
        """Whether every job that was submitted comes to an end."""
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            if len(self.users.ends) == self.users.count and set(self.users.ends.values()) <= {"done"}:
                return True
            await asyncio.sleep(LOOK_EVERY_S)
        return False


async def try_out(cluster: Cluster) -> int:
    """A cluster that runs until it is interrupted."""
    node = NODES[0]
    print(f"settings file:     {cluster.nodes[node].settings}")
    for verb, what in (("submit", "job.json"), ("status", "run-000001"), ("cancel", "run-000001")):
        print(f"elmthread {verb} --server {cluster.addresses[node]} {what}")
    print(f"elmthread links --config {cluster.nodes[node].settings}")
    print("Ctrl-C ends it.", flush=True)
    while True:
        cluster.learn_jobs()
        await asyncio.sleep(LOOK_EVERY_S / 2)


async def play(cluster: Cluster, faults: list[Fault]) -> int:
    """Submits jobs, plays the schedule, and tells what became of each job."""
    watching = asyncio.create_task(cluster.watch())
    await asyncio.sleep(SETTLE_S / 2)
    submitting = asyncio.create_task(cluster.users.submit())
    await asyncio.sleep(SETTLE_S / 2)
    await cluster.play(faults)
    submitting.cancel()
    cluster.say("the schedule is over; waiting for the jobs")
    over = await cluster.until_over()
    watching.cancel()
    ends = cluster.users.ends
    states: Counter[str] = Counter(ends.values())
    print(f"{cluster.users.count} jobs: {', '.join(f'{count} {state}' for state, count in states.items())}")
    for job_id, state in sorted(ends.items()):
        print(f"  {job_id}: {state}")
    print("\n".join(cluster.waits.lines()))
    rules = cluster.stand_ins.rules
    print(f"{sum(rules.starts.values())} starts of {len(rules.starts)} tasks; rules broken: {rules.broken or 'none'}")
    return 0 if over and not rules.broken else 1


async def run(loop: RealLoop, folder: Path, faults: list[Fault] | None) -> int:
    """Starts the cluster and does what is asked; no process is left, whatever ends it."""
    cluster = Cluster(loop, folder)
    try:
        await cluster.start()
        return await (try_out(cluster) if faults is None else play(cluster, faults))
    finally:
        await cluster.stop()


def main(arguments: list[str] | None = None) -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("schedule", nargs="?", type=Path, metavar="SCHEDULE.toml")
    given = parser.parse_args(arguments)
    faults: Any = None
    if given.schedule is not None:
        try:
            faults = read_schedule(given.schedule)
        except BadScheduleError as error:
            print(f"cut_links: {error}", file=sys.stderr)
            return 2
    with real_loop() as loop, tempfile.TemporaryDirectory() as folder:
        running = loop.create_task(run(loop, Path(folder), faults))
        try:
            return loop.run_until_complete(running)
        except KeyboardInterrupt:
            running.cancel()
            loop.run_until_complete(asyncio.wait([running]))
            return 130


if __name__ == "__main__":
    sys.exit(main())
