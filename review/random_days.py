"""Random disruptions on a small deployment of real processes, with checks of PROTOCOL's rules. Not a case.

    PYTHONPATH=target/app:. python3 -S review/random_days.py SEED [next] [levels] [five]

`next`: the state service lowers its limits on the way; `levels`: an operators' file with a soak time of 1 s, so that the
higher compatibility levels are in use; `five`: five controllers with the times of bluemount. The record is written to
review/target/SEED; a broken rule stands in it behind "broken:". Chance comes from the seed, timing from the machine.
"""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

from review.standins import workers, world
from review.standins.services import Bucket
from review.standins.sites import athina, job
from review.standins.wire import LOOPBACK, Client, NoAnswer, Server

SEED, OPTIONS = int(sys.argv[1]), set(sys.argv[2:])
END_S, JOBS = 110.0, 45
RNG = random.Random(SEED)
SOAK = "[rollout]\nenabled = true\nsoak_s = 1.0\n"
NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 12.0, "rps": 60.0}


class StateLink:
    """One node's link to the state service: open, refused with 503, or held (requests are carried out late)."""

    def __init__(self, state):
        self.state, self.mode, self.passable = state, "open", asyncio.Event()
        self.passable.set()

    def set(self, mode):
        self.mode = mode
        self.passable.clear() if mode == "hold" else self.passable.set()

    async def handle(self, method, path, query, body):
        await self.passable.wait()
        if self.mode == "refuse" and path != "/watch":
            return 503, {"error": "trouble"}
        answer = await self.state.handle(method, path, query, body)
        while self.mode == "refuse":
            await asyncio.sleep(0.1)
        await self.passable.wait()
        return answer


class PeerLink:
    """One direction of connecting between two controllers: open, held or refused."""

    def __init__(self, target):
        self.target, self.mode, self.passable, self.writers = target, "open", asyncio.Event(), set()
        self.passable.set()

    def set(self, mode):
        self.mode = mode
        self.passable.clear() if mode == "hold" else self.passable.set()
        for writer in list(self.writers) if mode == "refuse" else ():
            writer.transport.abort()

    async def start(self):
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        writers, pumps = [writer], []
        try:
            await self.passable.wait()
            if self.mode == "refuse":
                return
            host, port = self.target.split(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            writers.append(target_writer)
            self.writers.update(writers)
            pumps = [
                asyncio.create_task(self._pump(reader, target_writer)),
                asyncio.create_task(self._pump(target_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            for one in writers:
                self.writers.discard(one)
                one.transport.abort()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passable.wait()
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass


class CutWorker(workers.Worker):
    """A worker that can be cut off: its reports get no answer, and some arrive late."""

    cut = False  # from all controllers
    cut_from = frozenset()  # from these

    def is_cut(self):
        return self.cut or self.node in self.cut_from

    async def send(self, report):
        if not self.is_cut():
            answer = await super().send(report)
            if self.is_cut():
                raise NoAnswer("cut")
            return answer
        if RNG.random() < 0.6:
            self.world.tasks.append(asyncio.create_task(self._deliver_late(report, self.node)))
        await asyncio.sleep(4.0)
        raise NoAnswer("cut")

    async def _deliver_late(self, report, node):
        while self.cut or node in self.cut_from:
            await asyncio.sleep(0.2)
        client = Client(self.world.addresses[node])
        try:
            await client.call("POST", "/agent/beat", report, 4.0)
        except NoAnswer:
            pass
        client.close()

    def restart(self):
        self._drop("restart")
        self.tally = self.baton = 0
        self.shift = RNG.choice([1, self.shift + 1])
        self.renewed = time.monotonic()
        self.changed.set()


class World(world.World):
    """A deployment with links that can fail, and the rules of PROTOCOL."""

    worker_class = CutWorker

    def __init__(self, site, folder, record):
        super().__init__(site, folder, record)
        self.broken, self.final, self.accepted, self.cancelled, self.completed = [], {}, set(), {}, set()
        self.limits = {team["name"]: team.get("cpus_max") or float("inf") for team in self.teams}
        self.busy, self.cloud_down, self.zone_is_cut = set(), False, False
        self.state_links, self.peer_links, self.views = {}, {}, {}
        self.cloud_passable = asyncio.Event()
        self.cloud_passable.set()

    def report_broken(self, *words):
        self.broken.append(words)
        self.log("broken:", *words)

    async def start_services(self):
        self.cloud_server_handle = self.cloud.handle
        self.cloud.handle = self._cloud
        await super().start_services()
        for node in self.nodes:
            self.state_links[node] = StateLink(self.state)
            self.state_links[node].address = await Server(self.state_links[node].handle).start()
            self.views[node] = dict(self.peers)
            for other in self.nodes:
                if other != node:
                    link = self.peer_links[node, other] = PeerLink(self.peers[other])
                    self.views[node][other] = await link.start()

    def take(self, name):
        self.cloud.machines.pop(name, None)
        if name in self.workers:
            self.log("cloud", name, "is taken back")
            self.workers.pop(name).stop()

    async def _cloud(self, *request):
        await self.cloud_passable.wait()
        return (503, {"error": "trouble"}) if self.cloud_down else await self.cloud_server_handle(*request)

    def settings(self, node):
        text = super().settings(node)
        for other, address in self.views[node].items():
            if other != node:
                text = text.replace(f'address = "{self.peers[other]}"', f'address = "{address}"')
        return text.replace(self.state_address, self.state_links[node].address)

    def command(self, node):
        if "levels" not in OPTIONS:
            return super().command(node)
        operators = self.folder / "operators.toml"
        operators.write_text(SOAK)
        return [str(operators) if part == "deploy/rollout.toml" else part for part in super().command(node)]

    # Rules

    def started(self, worker, key):
        spec = self.specs[key[0].rpartition("/")[0]]
        others = [m for m, _ in self.on.get(key[0], ()) if m != worker.name]
        if others:
            self.report_broken("ran_twice", key, worker.name, others)
        if not spec["loaners"] and worker.machine["loaners"]:
            self.report_broken("wrong_place", key, "on a spot machine")
        zones = [
            self.workers[m].machine["yard"]
            for piece, on in self.on.items()
            if piece.rpartition("/")[0] == spec["name_id"]
            for m, _ in on
            if m in self.workers
        ]
        yard = worker.machine["yard"]
        if spec["one_zone"] and any(zone != yard for zone in zones):
            self.report_broken("wrong_place", key, yard, zones)
        if spec["scatter"] and zones.count(yard) + 1 > (spec["pieces"] + 1) // 2:
            self.report_broken("wrong_place", key, yard, zones)
        super().started(worker, key)
        used = sum(
            other["cpus"] * len(on)
            for piece, on in self.on.items()
            if (other := self.specs[piece.rpartition("/")[0]])["crew"] == spec["crew"]
        )
        if used > self.limits[spec["crew"]] + 1e-6:
            self.report_broken("quota", spec["crew"], used)

    def ended(self, worker, key, why):
        if why == "done":
            self.completed.add(key[0])
        super().ended(worker, key, why)

    async def watch_cancelled(self):
        while True:
            await asyncio.sleep(0.5)
            for piece, on in self.on.items():
                told = self.cancelled.get(piece.rpartition("/")[0])
                if on and told is not None and self.now() > told + self.cancel_s:
                    self.report_broken("ran_cancelled", piece, on, "told at", told)

    def judge(self, name, status, body):
        if status == 404 and name in self.accepted or status in (400, 422):
            self.report_broken("forgotten", name, status)
        if status not in (200, 201):
            return
        said, spec = body["status"], self.specs[name]
        if self.final.get(name, said) != said:
            self.report_broken("went_back", name, self.final[name], said)
        if said in ("done", "cancelled"):
            self.final[name] = said
        if said == "done" and not all(f"{name}/{i}" in self.completed for i in range(spec["pieces"])):
            self.report_broken("not_done", name)


def draw_job(number):
    service = RNG.random() < 0.15
    pieces = RNG.choice([2, 3] if service else [1, 2, 4, 8, 20, 40])
    expected_s = 0.0 if service else RNG.choice([2.0, 8.0, 20.0])
    urgency = RNG.choice(["production", "high", "normal", "best_effort"])
    spec = job(
        number,
        RNG.choice(["bench-tests", "rush-fixes", "scrap-sort"]),
        f"ergastirio-0{RNG.randrange(3)}",
        pieces,
        RNG.choice([1.0, 2.0, 0.5]),
        RNG.choice([0.5, 1.1]),
        urgency,
        expected_s,
        loaners=RNG.random() < 0.6,
    )
    spec["form"] = "daemon" if service else "batch"
    spec["one_zone"] = not service and RNG.random() < 0.2
    spec["scatter"] = not spec["one_zone"] and RNG.random() < 0.3
    if not service and RNG.random() < 0.3:
        spec |= {"snapshot_every_s": 5.0, "snapshot_s": 1.0}
    return spec


async def user(world, number):
    """Submit a job, poll it until the end, and cancel some."""
    spec = draw_job(number)
    name = spec["name_id"]
    if spec["form"] == "batch" and RNG.random() < 0.06:
        world.mistaken.add(name)
    if not await world.submit(spec, spec["expected_s"] * RNG.uniform(0.5, 1.5)):
        return
    world.accepted.add(name)
    cancels = RNG.random() < (0.6 if spec["form"] == "daemon" else 0.3)
    cancel_at = world.now() + RNG.uniform(3, 40) if cancels else float("inf")
    while True:
        await asyncio.sleep(RNG.uniform(1, 4))
        if world.now() > cancel_at:
            said = await world.cancel(name)
            if said is not None:
                world.judge(name, 200, {"status": said})
            if said == "cancelled":
                world.cancelled[name] = world.now()
            cancel_at = float("inf")
        world.judge(name, *await world.poll(name))


# Disruptions


def draw_node(world):
    return RNG.choice([world.leader() or world.nodes[0]] * 3 + world.nodes)


async def kill_one(world):
    node = draw_node(world)
    if node not in world.busy:
        world.busy.add(node)
        await world.kill_node(node)
        await asyncio.sleep(RNG.choice([0.1, 0.3, 1, 8]))
        await world.start_node(node)
        world.busy.discard(node)


async def kill_all(world):
    if not world.busy:
        world.busy.update(world.nodes)
        for node in world.nodes:
            await world.kill_node(node)
        await asyncio.sleep(RNG.choice([0.2, 8, 20]))
        for node in world.nodes:
            await world.start_node(node)
        world.busy.clear()


async def stand_still(world):
    node = draw_node(world)
    if node not in world.busy:
        world.busy.add(node)
        world.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(RNG.choice([1, 1.6, 1.9, 2.2, 3, 6, 12, 23]))
        world.signal_node(node, signal.SIGCONT)
        await asyncio.sleep(1)
        world.busy.discard(node)


async def lose_state(world):
    node = draw_node(world)
    if world.state_links[node].mode == "open":
        mode = RNG.choice(["refuse", "hold"])
        world.log("fault state link of", node, mode)
        world.state_links[node].set(mode)
        await asyncio.sleep(RNG.choice([1, 2.5, 5, 12, 25, 37]))
        world.state_links[node].set("open")


async def state_outage(world):
    world.log("fault state service out")
    for link in world.state_links.values():
        link.set("refuse")
    end = time.monotonic() + RNG.choice([3, 8, 20, 35])
    while time.monotonic() < end:
        for grant in world.state.grants.values():
            grant[1] = time.monotonic() + grant[0]
        await asyncio.sleep(0.02)
    for link in world.state_links.values():
        link.set("open")


async def lose_peers(world):
    node, mode = draw_node(world), RNG.choice(["hold", "refuse"])
    links = [link for ends, link in world.peer_links.items() if node in ends or RNG.random() < 0.5]
    world.log("fault", len(links), "peer links", mode)
    for link in links:
        link.set(mode)
    await asyncio.sleep(RNG.choice([2, 6, 15, 40]))
    for link in links:
        link.set("open")


async def zone_cut(world):
    """Cut a zone with its controllers and workers off from everything else; inside, all goes on."""
    if world.zone_is_cut:
        return
    zone, world.zone_is_cut = RNG.choice(world.zones[:3]), True
    inside = {node for number, node in enumerate(world.nodes) if world.zones[number % len(world.zones)] == zone}
    links = [link for (one, other), link in world.peer_links.items() if (one in inside) != (other in inside)]
    links += [world.state_links[node] for node in inside if world.state_links[node].mode == "open"]
    world.log("fault zone", zone, "is cut off with", sorted(inside))
    for link in links:
        link.set("hold")
    end = time.monotonic() + RNG.choice([10, 25, 40])
    while time.monotonic() < end:
        for worker in world.workers.values():
            outside = frozenset(world.nodes) - inside
            worker.cut_from = outside if worker.machine["yard"] == zone else frozenset(inside)
        await asyncio.sleep(0.1)
    for worker in world.workers.values():
        worker.cut_from = frozenset()
    for link in links:
        link.set("open")
    world.zone_is_cut = False
    world.log("fault zone", zone, "is back")


async def node_down(world):
    node = draw_node(world)
    if node not in world.busy:
        world.busy.add(node)
        await world.kill_node(node)
        await asyncio.sleep(40)
        await world.start_node(node)
        world.busy.discard(node)


async def take_back(world):
    """Take half of the spot machines back, most with a notice of 12 s."""
    for worker in list(world.workers.values()):
        if worker.machine["loaners"] and RNG.random() < 0.5:
            notice_s = 0.0 if RNG.random() < 0.15 else 12.0 * RNG.uniform(0.5, 1.5)
            worker.recall_at = time.monotonic() + notice_s
            worker.changed.set()
            asyncio.get_running_loop().call_later(notice_s, world.take, worker.name)


async def cloud_outage(world):
    """Let the cloud refuse requests, or carry them out late."""
    held = RNG.random() < 0.5
    world.log("fault cloud", "held" if held else "out")
    world.cloud_down = not held
    if held:
        world.cloud_passable.clear()
    await asyncio.sleep(RNG.choice([5, 20]))
    world.cloud_down = False
    world.cloud_passable.set()


async def on_worker(world, action):
    if not world.workers:
        return
    worker = RNG.choice(list(world.workers.values()))
    world.log("fault", worker.name, action)
    if action == "dies":
        world.workers.pop(worker.name).stop()
    elif action == "restarts":
        worker.restart()
    elif action == "is sick":
        worker.sick = True
        await asyncio.sleep(25)
        worker.sick = False
    else:
        worker.cut = True
        await asyncio.sleep(RNG.choice([3, 8, 14, 25]))
        worker.cut = False


DISRUPTIONS = [kill_one, kill_one, kill_all, stand_still, stand_still, lose_state, lose_state, state_outage, lose_peers]
DISRUPTIONS += [
    zone_cut,
    zone_cut,
    node_down,
    take_back,
    cloud_outage,
    "dies",
    "restarts",
    "restarts",
    "is sick",
    "is cut",
    "is cut",
]


async def disrupt(world):
    while True:
        await asyncio.sleep(RNG.uniform(1, 9))
        what = RNG.choice(DISRUPTIONS)
        world.tasks.append(asyncio.create_task(on_worker(world, what) if isinstance(what, str) else what(world)))


async def lower_limits(world):
    await asyncio.sleep(RNG.uniform(25, 60))
    world.log("fault state service lowers its limits")
    state = world.state
    state.value_bytes, state.txn_ops = int(NEXT["value_kb"] * 1024), NEXT["txn_ops"]
    state.requests, state.writes = Bucket(NEXT["rps"], 1.0), Bucket(NEXT["write_rps"], 1.0)


async def run(world, trouble):
    await world.start_services()
    for node in world.nodes:
        world.write_settings(node)
        await world.start_node(node)
    if not await world.wait_ready():
        raise RuntimeError("the deployment is not ready")
    world.tasks.append(asyncio.create_task(world.watch_cancelled()))
    if trouble:
        world.tasks.append(asyncio.create_task(disrupt(world)))
    if "next" in OPTIONS:
        world.tasks.append(asyncio.create_task(lower_limits(world)))
    for number in range(JOBS):
        world.tasks.append(asyncio.create_task(user(world, number)))
        await asyncio.sleep(RNG.uniform(0.5, 3))
    await asyncio.sleep(max(1.0, END_S - world.now()))
    for task in world.tasks:
        if task.done() and not task.cancelled() and task.exception():
            raise task.exception()
    world.log("test", len(world.accepted), "jobs accepted,", sum(world.start_counts.values()), "starts")
    return not world.broken


if __name__ == "__main__":
    site = athina()
    for machine_type in site["types"]:
        machine_type["ready_s"] = 8.0
    if "five" in OPTIONS:
        site |= {"controllers": 5, "back_s": 4.0, "report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0}
    if "next" in OPTIONS:
        site["state"]["next"] = "{ " + ", ".join(f"{name} = {value}" for name, value in NEXT.items()) + " }"
    folder = Path(__file__).resolve().parent / "target" / str(SEED)
    os.makedirs(folder, exist_ok=True)
    sys.argv[0] = str(folder / "day")
    world.main((site, run), 118, World)
