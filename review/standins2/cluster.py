"""A small deployment on loopback: controller processes as the deploy file starts them, with stand-ins around them.

Sizes and times are those of the two sites of BRIEF-elmthread.md.
"""

import asyncio
import os
import shlex
import shutil
import signal
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from review.standins2.platform import Cloud, Host, StateService
from review.standins2.wire import HOST, Client, NoAnswerError, free_ports, serve
from review.standins2.workers import Worker

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """node_name = "{node}"
site = "{zone}"
serve_on = "{serve_on}"
peer_listen = "{peer}"
{others}
[endpoints]
cloud = "{cloud}"
state = "{state}"
[facts]
initial_size = 3
zones = [{zones}]
time_bound_ms = 25.0
{teams}
[[facts.objectives]]
kind = "finished"
class = "{docket}"
within_s = {within_s}
share = 0.8
[facts.workers]
report_s = {site.report_s}
lease_s = {site.lease_s}
cancel_s = {site.cancel_s}
[facts.state]
rps = 120.0
write_rps = {site.write_rps}
value_kb = {site.value_kb}
txn_ops = {site.txn_ops}
[facts.cloud]
rps = {site.cloud_rps}
list_lag_s = {site.list_lag_s}
[facts.limits]
cores = {site.cores}
ram_mb = {site.ram_mb}
max_connections = 1500
"""
GPU_TEAM = '[[facts.teams]]\nname = "{}"\ncpus = {}\ncpus_max = {}\ngpus = {}\ngpus_max = {}\n'
TEAM = '[[facts.teams]]\nname = "{}"\ncpus = {}\ncpus_max = {}\ngpus = 0.0\ngpus_max = 0.0\n'


def build(
    name: str, cpus: float, ram_gb: float, fetch: float, prices: tuple[float, float], ready_s: float, cards: float = 0.0
) -> Any:
    """Return a machine type as GET /flavors lists it; the zones are added by the cluster."""
    return {
        "name": name,
        "cpus": cpus,
        "cards": cards,
        "ram_gb": ram_gb,
        "cache_gb": 60.0,
        "fetch_gb_per_s": fetch,
        "rate": prices[0],
        "spot_price": prices[1],
        "ready_s": ready_s,
    }


@dataclass(frozen=True)
class Site:
    """A deployment as BRIEF-elmthread.md and its site file give it."""

    # Controllers and their zones.
    nodes: dict[str, str]
    zones: list[str]
    builds: list[dict[str, Any]]
    teams: str
    # A class of jobs, and within how many seconds its jobs should be done.
    objective: tuple[str, float]
    report_s: float
    lease_s: float
    cancel_s: float
    write_rps: float
    value_kb: float
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    cores: float
    ram_mb: float
    # A controller is back this long after its end.
    back_after_s: float


BLUEMOUNT = Site(
    nodes={"loom-0": "kingston", "loom-1": "spanish-town", "loom-2": "mandeville"},
    zones=["kingston", "mandeville", "montego-bay", "spanish-town"],
    builds=[build("proof-node", 4.0, 32.0, 0.25, (0.2, 0.08), 30.0)],
    teams=TEAM.format("prepress-desk", 0.0, 0.0),
    objective=("interior-renders", 120.0),
    report_s=2.5,
    lease_s=14.0,
    cancel_s=34.0,
    write_rps=20.0,
    value_kb=8.0,
    txn_ops=8,
    cloud_rps=8.0,
    list_lag_s=3.0,
    cores=0.54,
    ram_mb=266.0,
    back_after_s=4.0,
)
ATHINA = Site(
    nodes={"loom-0": "athina", "loom-1": "iraklio", "loom-2": "saloniki"},
    zones=["athina", "iraklio", "patra", "saloniki"],
    builds=[
        build("mikro", 4.0, 8.0, 0.2, (0.26, 0.1), 50.0),
        build("mesaio", 8.0, 32.0, 0.5, (0.55, 0.19), 50.0),
        build("megalo", 64.0, 128.0, 0.6, (4.41, 1.56), 20.0),
    ],
    teams="".join(TEAM.format(f"ergastirio-{number:02d}", 16.0, 24.0) for number in range(10)),
    objective=("bench-tests", 200.0),
    report_s=3.0,
    lease_s=17.0,
    cancel_s=37.0,
    write_rps=30.0,
    value_kb=16.0,
    txn_ops=12,
    cloud_rps=2.0,
    list_lag_s=4.0,
    cores=0.288,
    ram_mb=186.0,
    back_after_s=8.0,
)


# The first deployment with the machine type and the team of the examples in PROTOCOL-elmthread.md.
WITH_CARDS = replace(
    ATHINA,
    builds=[build("g8", 96.0, 768.0, 1.0, (12.0, 4.5), 45.0, cards=8.0)],
    teams=GPU_TEAM.format("vision", 0.0, 0.0, 2.0, 2.0) + GPU_TEAM.format("ergastirio-00", 0.0, 0.0, 0.0, 8.0),
)


class CaseError(Exception):
    """The case could not run: the situation that it is about did not come about."""


def job(number: int, **changes: Any) -> dict[str, Any]:
    """Return a submission; `run_s`, how long each task really runs, is for the workers only."""
    return {
        "name_id": f"run-{number:06d}",
        "docket": "interior-renders",
        "crew": "prepress-desk",
        "form": "batch",
        "urgency": "normal",
        "pieces": 4,
        "cpus": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
        "kit": "img-01",
        "size_gb": 0.3,
        "builds": None,
        "yard": None,
        "one_zone": False,
        "scatter": False,
        "loaners": True,
        "expected_s": 40.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        "run_s": 40.0,
    } | changes


class Cluster:
    """The controllers, the platform, the machines, and what users and machines saw."""

    def __init__(self, record: Path, site: Site) -> None:
        self._began = time.monotonic()
        self._record = record.open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="elmthread-review-"))
        self.site = site
        ports = free_ports(2 * len(site.nodes))
        self.addresses = {node: f"{HOST}:{ports.pop()}" for node in site.nodes}
        self.peers = {node: f"{HOST}:{ports.pop()}" for node in site.nodes}
        self.state = StateService(120.0, site.write_rps, site.value_kb, site.txn_ops)
        self._builds = {one["name"]: one | {"yards": site.zones} for one in site.builds}
        self.cloud = Cloud(list(self._builds.values()), site.cloud_rps, site.list_lag_s)
        self._endpoints = "", ""
        self.cloud.on_up, self.cloud.on_gone = self._on_up, self._on_gone
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        # (machine, task, attempt) that are on machines now, and how often each task started.
        self.on: dict[tuple[str, str, int], Host] = {}
        self.starts: Counter[str] = Counter()
        # How many commands machines received, by verb and job.
        self.orders: Counter[tuple[str, str]] = Counter()
        self.finished: set[str] = set()
        # The last state of each job that a user was told.
        self.states: dict[str, str] = {}
        self.violations: list[str] = []
        # Called with each start, before it is counted as being on its machine.
        self.on_start: Callable[[Host, str, dict[str, Any]], None] = lambda host, task, job: None
        self._turn = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    # What is recorded

    def log(self, text: str) -> None:
        """Write one line to the record."""
        self._record.write(f"{time.monotonic() - self._began:8.2f} {text}\n")
        self._record.flush()

    def violate(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.violations.append(f"{rule}: {text}")
        self.log(f"BROKEN {rule}: {text}")

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began

    # Floor of the workers

    def job(self, job_id: str) -> dict[str, Any] | None:
        """Return a job that a user has uploaded."""
        return self.jobs.get(job_id)

    def ordered(self, machine: Host, order: dict[str, Any]) -> None:
        """Note a command that a machine has received and executes."""
        self.orders[order["verb"], order["piece"].rpartition("/")[0]] += 1
        if order["verb"] != "reap":
            self.log(f"order {order['verb']} {order['piece']} try {order['try']} to {machine.name}")

    def started(self, machine: Host, task: str, attempt: int) -> None:
        """Note that a task is on a machine, with its image."""
        self.log(f"start {task} try {attempt} on {machine.name} in {machine.yard}")
        if any(other == task for _, other, _ in self.on):
            self.violate("ran_twice", f"{task} starts on {machine.name} while it is on another")
        self.on_start(machine, task, self.jobs[task.rpartition("/")[0]])
        self.starts[task] += 1
        self.on[machine.name, task, attempt] = machine

    def ended(self, machine: Host, task: str, attempt: int, why: str) -> None:
        """Note that a task is no longer on a machine."""
        self.log(f"end   {task} try {attempt} on {machine.name}: {why}")
        self.on.pop((machine.name, task, attempt), None)
        if why == "done":
            self.finished.add(task)

    def tasks_on(self, job_id: str) -> Counter[str]:
        """Return how many tasks of the job are on machines, by zone."""
        return Counter(host.yard for (_, task, _), host in self.on.items() if task.rpartition("/")[0] == job_id)

    def amount_on(self, team: str, name: str) -> float:
        """Return how many `cpus` or `cards` the team's tasks take of machines now."""
        jobs = (self.jobs[task.rpartition("/")[0]] for _, task, _ in self.on)
        return float(sum(job[name] for job in jobs if job["crew"] == team))

    def _on_up(self, host: Host) -> None:
        self.log(f"machine {host.name} ({host.build}, {host.yard}) is up")
        self.workers[host.name] = Worker(
            host, self._builds[host.build], self.addresses, self, self.site.report_s, self.site.lease_s
        )

    def _on_gone(self, name: str) -> None:
        self.log(f"machine {name} is deleted")
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.stop()

    # Controllers

    async def start(self) -> None:
        """Start the platform and all controllers, and wait until each is ready."""
        state, cloud = await serve(self.state.handle), await serve(self.cloud.handle)
        self._endpoints = state, cloud
        for node in self.site.nodes:
            self.write_settings(node, self.site.teams)
            await self.start_node(node)
        await self.wait_ready(30.0)

    def write_settings(self, node: str, teams: str) -> None:
        """Write a controller's settings file."""
        others = "".join(
            f'[[others]]\nnode_name = "{other}"\nsite = "{self.site.nodes[other]}"\naddress = "{address}"\n'
            for other, address in self.peers.items()
            if other != node
        )
        text = SETTINGS.format(
            node=node,
            zone=self.site.nodes[node],
            serve_on=self.addresses[node],
            peer=self.peers[node],
            others=others,
            state=self._endpoints[0],
            cloud=self._endpoints[1],
            zones=", ".join(f'"{zone}"' for zone in self.site.zones),
            teams=teams,
            docket=self.site.objective[0],
            within_s=self.site.objective[1],
            site=self.site,
        )
        (self.folder / f"{node}.toml").write_text(text)

    async def start_node(self, node: str) -> None:
        """Start one controller with the deploy file's command."""
        command = shlex.split(tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"])
        log = (self.folder / f"{node}.log").open("ab")
        self.processes[node] = await asyncio.create_subprocess_exec(
            *command,
            str(self.folder / f"{node}.toml"),
            cwd=ROOT,
            env=os.environ | {"LOG_LEVEL": os.environ.get("CONTROLLER_LOG", "error")},
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.log(f"controller {node} started, process {self.processes[node].pid}")

    async def wait_ready(self, timeout: float) -> None:
        """Wait until every controller answers GET /ready with 200. Raises CaseError."""
        end = time.monotonic() + timeout
        for node, address in self.addresses.items():
            while True:
                try:
                    if (await Client(address).call("GET", "/ready", timeout=1.0))[0] == 200:
                        break
                except NoAnswerError:
                    pass
                if time.monotonic() > end:
                    raise CaseError(f"{node} is not ready")
                await asyncio.sleep(0.2)
        self.log("all controllers are ready")

    def leader(self) -> str:
        """Return the controller that most machines report to: the busiest one. Raises CaseError."""
        counts = Counter(one.answered_by for one in self.workers.values() if one.answered_by and not one.cut)
        if not counts:
            raise CaseError("no machine is answered")
        return counts.most_common(1)[0][0]

    async def kill(self, node: str) -> None:
        """Kill a controller."""
        process = self.processes[node]
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        self.log(f"controller {node} killed")

    async def crash(self, node: str) -> None:
        """Kill a controller, which is back after the time that the brief names."""
        await self.kill(node)
        self.spawn(self._back(node))

    async def _back(self, node: str) -> None:
        await asyncio.sleep(self.site.back_after_s)
        await self.start_node(node)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Do something in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """End everything that was started."""
        for task in list(self._tasks):
            task.cancel()
        for worker in self.workers.values():
            worker.stop()
        for node, process in self.processes.items():
            if process.returncode is None:
                process.kill()
                await process.wait()
            text = (self.folder / f"{node}.log").read_text(errors="replace")
            if text:
                self.log(f"standard error of {node}:\n" + "\n".join(f"         | {line}" for line in text.splitlines()))
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # Users

    async def ask(self, method: str, path: str, body: Any = None, timeout: float = 5.0) -> tuple[int, Any]:
        """Send a user's request on a new connection, as the load balancer does; status 0 if nobody answered."""
        names = list(self.addresses)
        self._turn += 1
        for step in range(len(names)):
            node = names[(self._turn + step) % len(names)]
            client = Client(self.addresses[node])
            try:
                status, _, answer = await client.call(method, path, body, timeout)
            except NoAnswerError as error:
                self.log(f"{node} {method} {path}: no answer ({error})")
                continue
            finally:
                client.close()
            self.log(f"{node} {method} {path}: {status} {answer}")
            return status, answer
        return 0, None

    async def poll(self, job_id: str) -> str | None:
        """Ask for a job's state."""
        status, answer = await self.ask("GET", f"/submissions/{job_id}", timeout=2.0)
        if status == 200:
            self.states[job_id] = answer["status"]
        return self.states.get(job_id)

    def is_done(self, job_id: str) -> bool:
        """Return whether all tasks of the job have completed."""
        return all(f"{job_id}/{number}" in self.finished for number in range(self.jobs[job_id]["pieces"]))

    async def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job, and repeat the submission for 60 s. Raises CaseError if it is not accepted."""
        self.jobs[spec["name_id"]] = spec
        end = time.monotonic() + 60
        while time.monotonic() < end:
            status, _ = await self.ask("POST", "/submissions", {k: v for k, v in spec.items() if k != "run_s"})
            if status in (200, 201):
                return
            if status in (400, 422):
                raise CaseError(f"{spec['name_id']} is refused with {status}")
            await asyncio.sleep(1)
        raise CaseError(f"{spec['name_id']} is not accepted")

    async def wait_until(self, what: str, condition: Callable[[], bool], timeout: float) -> None:
        """Wait for a condition. Raises CaseError if it does not come about in time."""
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CaseError(f"not seen within {timeout:.0f} s: {what}")
            await asyncio.sleep(0.1)
        self.log(f"seen: {what}")


def run_case(folder: Path, site: Site, play: Callable[[Cluster, bool], Any], limit_s: float = 116.0) -> int:
    """Run a case; return 1 if a rule was broken, 0 if all held, and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        cluster = Cluster(folder / "record.txt", site)
        cluster.log(f"trouble: {trouble}")
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await cluster.start()
                await play(cluster, trouble)
            result = 1 if cluster.violations else 0
            cluster.log(f"result: {'broken' if result else 'held'}; {len(cluster.violations)} breaches")
        except (CaseError, TimeoutError) as error:
            result = 1 if cluster.violations else 2
            cluster.log(f"the case could not run to its end: {error or 'out of time'}; result {result}")
        finally:
            await cluster.stop()
        print("\n".join(cluster.violations[:5]) or "no rule was broken")
        return result

    try:
        return asyncio.run(main())
    except asyncio.CancelledError:
        return 2
