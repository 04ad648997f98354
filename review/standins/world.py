"""A small deployment on loopback: controllers as processes, and stand-ins for everything outside."""

import asyncio
import os
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from review.standins.services import Cloud, StateService
from review.standins.wire import LOOPBACK, Client, NoAnswer, Server
from review.standins.workers import Worker

ROOT = Path(__file__).resolve().parents[2]
VERDICTS = {True: "the rule held", False: "the rule was broken", None: "the case could not run"}


def free_ports(count):
    """Return ports below the ephemeral range on which nothing listens."""
    ports, held = [], []
    for port in random.SystemRandom().sample(range(20_000, 30_000), 10_000):
        listener = socket.socket()
        try:
            listener.bind((LOOPBACK, port))
        except OSError:
            listener.close()
            continue
        held.append(listener)
        ports.append(port)
        if len(ports) == count:
            break
    for listener in held:
        listener.close()
    return ports


class World:
    """Starts, stops and records a deployment; `site` is a dict of its figures."""

    worker_class = Worker

    def __init__(self, site, folder, record):
        self.site, self.folder, self.record = site, Path(folder), record
        self.began = time.monotonic()
        self.nodes = [f"loom-{i}" for i in range(site["controllers"])]
        ports = free_ports(2 * len(self.nodes))
        self.addresses = {n: f"{LOOPBACK}:{ports.pop()}" for n in self.nodes}
        self.peers = {n: f"{LOOPBACK}:{ports.pop()}" for n in self.nodes}
        self.types, self.zones = site["types"], site["zones"]
        self.report_s, self.lease_s, self.cancel_s = site["report_s"], site["lease_s"], site["cancel_s"]
        self.teams = list(site["teams"])
        state = site["state"]
        self.state = StateService(state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"])
        self.cloud = Cloud(
            self.types, site["capacity"], site["cloud"]["rps"], site["cloud"]["list_lag_s"], self._up, self._gone
        )
        self.workers, self.specs, self.run_s = {}, {}, {}
        self.mistaken = set()  # jobs that fail on every machine
        self.on = {}  # piece -> set of (machine, try)
        self.processes = {}  # node -> process
        self.healthy = {n: False for n in self.nodes}
        self.bad_probes = {n: 0 for n in self.nodes}
        self.tasks = []
        self.logs = {n: open(self.folder / f"{n}.log", "ab") for n in self.nodes}
        self.answers = []  # (time, job, what, status or None, body)
        self.start_counts = {}

    def now(self):
        return time.monotonic() - self.began

    def log(self, *words):
        self.record.write(f"{self.now():8.2f} " + " ".join(str(w) for w in words) + "\n")
        self.record.flush()

    # What runs on the machines

    def started(self, worker, key):
        self.on.setdefault(key[0], set()).add((worker.name, key[1]))
        self.start_counts[key[0]] = self.start_counts.get(key[0], 0) + 1
        self.log("run", key[0], "try", key[1], "starts on", worker.name, worker.machine["yard"])

    def ended(self, worker, key, why):
        self.on.get(key[0], set()).discard((worker.name, key[1]))
        self.log("run", key[0], "try", key[1], "ends on", worker.name, why)

    def _up(self, machine):
        self.log("cloud", machine["name_id"], machine["build"], machine["yard"], "is up")
        self.workers[machine["name_id"]] = self.worker_class(self, machine)

    def _gone(self, name):
        self.log("cloud", name, "is deleted")
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    # Services

    async def start_services(self):
        self.state_server, self.cloud_server = Server(self.state.handle), Server(self.cloud.handle)
        self.state_address = await self.state_server.start()
        self.cloud_address = await self.cloud_server.start()
        self.tasks.append(asyncio.create_task(self.state.run()))
        for build, yard in self.site["machines"]:
            self.cloud.add(build, yard, False, 0, listed=True)
        self.tasks += [asyncio.create_task(self._probe(n)) for n in self.nodes]

    # The platform

    def settings(self, node):
        site = self.site
        lines = [
            f'node_name = "{node}"',
            f'site = "{self.zones[self.nodes.index(node) % len(self.zones)]}"',
            f'serve_on = "{self.addresses[node]}"',
            f'peer_listen = "{self.peers[node]}"',
        ]
        for other in self.nodes:
            if other != node:
                zone = self.zones[self.nodes.index(other) % len(self.zones)]
                lines += [
                    "[[others]]",
                    f'node_name = "{other}"',
                    f'site = "{zone}"',
                    f'address = "{self.peers[other]}"',
                ]
        lines += ["[endpoints]", f'cloud = "{self.cloud_address}"', f'state = "{self.state_address}"']
        lines += ["[facts]", f"initial_size = {len(self.nodes)}", f"zones = {self.zones!r}", "time_bound_ms = 25.0"]
        for team in self.teams:
            lines += ["[[facts.teams]]", f'name = "{team["name"]}"']
            lines += [f"{k} = {team.get(k, 0.0)}" for k in ("cpus", "cpus_max", "gpus", "gpus_max")]
        for objective in site["objectives"]:
            lines.append("[[facts.objectives]]")
            lines += [f"{k} = {v!r}" for k, v in objective.items()]
        lines += ["[facts.workers]", f"report_s = {self.report_s}", f"lease_s = {self.lease_s}"]
        lines += ["gang_wait_s = 30.0", "gang_peer_s = 8.0", f"cancel_s = {self.cancel_s}"]
        for table in ("state", "cloud", "limits"):
            lines.append(f"[facts.{table}]")
            lines += [f"{k} = {v}" for k, v in site[table].items()]
        return "\n".join(lines).replace("'", '"') + "\n"

    def write_settings(self, node):
        (self.folder / f"{node}.toml").write_text(self.settings(node))

    def command(self, node):
        """Return the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        return [*shlex.split(run), str(self.folder / f"{node}.toml")]

    async def start_node(self, node):
        """Start a controller."""
        environment = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"} | {"LOG_LEVEL": "info"}
        self.processes[node] = await asyncio.create_subprocess_exec(
            *self.command(node), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stderr=self.logs[node]
        )
        self.log("platform", node, "started, process", self.processes[node].pid)

    async def kill_node(self, node):
        """Kill a controller, as the platform does, with no signal that it could handle."""
        process = self.processes[node]
        if process.returncode is None:
            process.kill()
            await process.wait()
            self.log("platform", node, "killed")

    def signal_node(self, node, number):
        os.kill(self.processes[node].pid, number)
        self.log("platform", node, signal.Signals(number).name)

    async def restart_node(self, node):
        await self.kill_node(node)
        await asyncio.sleep(self.site["back_s"])
        await self.start_node(node)

    def memory_mb(self, node):
        """Return the resident memory of a controller, 0 if it does not run."""
        try:
            pages = int(Path(f"/proc/{self.processes[node].pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def stop(self):
        for node in list(self.processes):
            process = self.processes[node]
            if process.returncode is None:
                process.kill()
                await process.wait()
        for worker in list(self.workers.values()):
            worker.stop()
        for task in self.tasks:
            task.cancel()

    def leader(self):
        """Return the node that holds the leader key, or None; for the timing of disruptions and the record only."""
        item = self.state.items.get("leader")
        return item[0]["node"] if item else None

    # The load balancer and the users

    async def _probe(self, node):
        while True:
            client = Client(self.addresses[node])
            try:
                status, _, _ = await client.call("GET", "/ready", None, 1.0)
            except NoAnswer:
                status = 0
            client.close()
            self.bad_probes[node] = 0 if status == 200 else self.bad_probes[node] + 1
            healthy = status == 200 or (self.healthy[node] and self.bad_probes[node] < 2)
            if healthy != self.healthy[node]:
                self.log("balancer", node, "healthy" if healthy else "unhealthy")
            self.healthy[node] = healthy
            await asyncio.sleep(1.0)

    async def request(self, method, path, body, timeout_s, what, job):
        """Send one request through the load balancer on a new connection; return (status or None, body, headers)."""
        nodes = [n for n in self.nodes if self.healthy[n]]
        random.shuffle(nodes)
        end, answer = time.monotonic() + timeout_s, (None, None, {})
        node = "-"
        for node in nodes[:3]:
            client = Client(self.addresses[node])
            try:
                answer = await client.call(method, path, body, max(0.01, end - time.monotonic()))
                break
            except NoAnswer as error:
                if "Refused" not in str(error):
                    break
            finally:
                client.close()
        self.answers.append((self.now(), job, what, answer[0], answer[1]))
        self.log("user", what, job, "via", node, "->", answer[0], answer[1])
        return answer

    async def submit(self, spec, run_s, limit_s=60.0):
        """Submit a job as a user does, again for up to 60 s; return whether it was accepted."""
        self.specs[spec["name_id"]], self.run_s[spec["name_id"]] = spec, run_s
        end = time.monotonic() + limit_s
        while True:
            status, _, headers = await self.request("POST", "/submissions", spec, 5.0, "submit", spec["name_id"])
            if status in (200, 201):
                return True
            if status in (400, 422) or time.monotonic() >= end:
                return False
            await asyncio.sleep(min(30.0, max(1.0, float(headers.get("retry-after", 1)))))

    async def poll(self, job):
        status, body, _ = await self.request("GET", f"/submissions/{job}", None, 2.0, "poll", job)
        return status, body

    async def cancel(self, job):
        end = time.monotonic() + 60
        while time.monotonic() < end:
            status, body, headers = await self.request("POST", f"/submissions/{job}/withdraw", {}, 5.0, "cancel", job)
            if status == 200:
                return body["status"]
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", 1))))
        return None

    async def wait_ready(self, limit_s=20.0):
        """Wait until all nodes are healthy; return whether they are."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.healthy.values()):
                return True
            await asyncio.sleep(0.2)
        return False


def main(case, seconds=115, world_class=World):
    """Run `case(world, trouble) -> True if the rule held`; exit 0 (held), 1 (broken) or 2 (could not run)."""
    site, run = case
    try:
        held = asyncio.run(play(world_class, site, run, seconds))
    except BaseException as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        held = None
    print(VERDICTS[held])
    sys.exit({True: 0, False: 1, None: 2}[held])


async def play(world_class, site, run, seconds):
    """Run one case in a folder of its own and return whether the rule held, None if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    where = Path(sys.argv[0]).resolve().parent
    with open(where / "record.txt", "w") as record, tempfile.TemporaryDirectory() as folder:
        world = world_class(site, folder, record)
        world.log("test", "TROUBLE =", int(trouble))
        held = None
        try:
            async with asyncio.timeout(seconds):
                held = await run(world, trouble)
        except (Exception, asyncio.CancelledError) as error:
            world.log("test", "could not run:", type(error).__name__, error)
        finally:
            await world.stop()
        for node in world.nodes:
            world.logs[node].close()
            lines = (Path(folder) / f"{node}.log").read_text(errors="replace").splitlines()
            for line in lines[-60:]:
                record.write(f"log of {node}: " + re.sub(r'"/[^"]*/', '".../', line) + "\n")
        world.log("test", VERDICTS[held])
        return held
