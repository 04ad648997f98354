"""Troubles to be mixed at will, each for a while and then over; what users do meanwhile."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any

import cbor2

from elmthread.leadership.step_down import StepDownReason
from elmthread.net.http import Request
from tests.world.world import ZONES, World, job

Trouble = Callable[["Stage"], Coroutine[Any, Any, None]]
TROUBLES: dict[str, Trouble] = {}


def trouble(work: Trouble) -> Trouble:
    TROUBLES[work.__name__] = work
    return work


class Stage:
    """A world with users in it, and the troubles that befall it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.ids: list[str] = []
        self.number = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    # Users

    def begin(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        task = self.world.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def end(self) -> None:
        """Until no user has anything left to do."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def spec(self, **changes: Any) -> dict[str, Any]:
        self.number += 1
        return job(self.number, **changes)

    async def submit(self, **changes: Any) -> str | None:
        spec = self.spec(**changes)
        if await self.world.submit(spec, 30.0):
            self.ids.append(spec["name_id"])
            return str(spec["name_id"])
        return None

    async def work(self) -> None:
        """What there is to do at the start: teams at their limit, zones, arrays, ends far apart."""
        await self.submit(crew="red", pieces=14, true_s=25.0, expected_s=25.0)
        await self.submit(crew="red", urgency="high", pieces=4, cpus=2.0, true_s=12.0, expected_s=12.0)
        for _ in range(3):
            await self.submit(crew="red", pieces=3, cpus=2.0, true_s=20.0, expected_s=20.0)
        await self.submit(pieces=3, each_s=[4.0, 30.0, 55.0], expected_s=30.0)
        await self.submit(pieces=2, each_s=[3.0, 45.0], expected_s=20.0, loaners=False)
        await self.submit(pieces=6, yard="north", true_s=20.0, expected_s=20.0)
        await self.submit(pieces=5, one_zone=True, true_s=20.0, expected_s=20.0)
        await self.submit(pieces=5, scatter=True, true_s=15.0, expected_s=15.0, urgency="high")
        await self.submit(pieces=4, true_s=90.0, expected_s=90.0, snapshot_every_s=5.0, snapshot_s=1.0)
        await self.submit(pieces=30, cpus=2.0, true_s=10.0, expected_s=10.0, urgency="best_effort")

    def unfinished(self) -> list[str]:
        told = self.world.rules.told
        return [one for one in self.ids if told.get(one) not in ("done", "cancelled")]

    async def look(self, job_id: str) -> None:
        """Every node is asked again and again within milliseconds, and the submission repeated."""
        world = self.world
        for _ in range(3):
            asks = [world.poll(job_id, node) for node in world.nodes if node in world.controllers]
            await asyncio.gather(*asks, world.offer(world.rules.specs[job_id]))
            await asyncio.sleep(world.rng.uniform(0.001, 0.05))

    async def cancel(self, job_id: str, patience: float = 60.0) -> None:
        if await self.world.withdraw(job_id, patience) is not None:
            await self.look(job_id)

    # Machines and nodes

    def some(self, share: float) -> list[str]:
        names = sorted(self.world.workers)
        return self.world.rng.sample(names, max(1, round(len(names) * share))) if names else []

    def leader(self) -> str | None:
        return None if self.world.leader is None else self.world.leader.api._node

    def kill(self, node: str, back: float) -> None:
        if node in self.world.controllers:
            self.world.kill(node)
            self.world.loop.call_later(back, self._back, node)

    def _back(self, node: str) -> None:
        if node not in self.world.controllers:
            self.world.start(node)

    def all_ports(self) -> list[Any]:
        return [self.world.ports[node][0].trouble for node in self.world.nodes]


def _gone(stage: Stage, set_: set[Any], some: set[Any], after: float) -> None:
    set_ |= some
    stage.world.loop.call_later(after, set_.difference_update, some)


# Controllers


@trouble
async def leader_ends(stage: Stage) -> None:
    leader = stage.leader()
    if leader is not None:
        stage.kill(leader, stage.world.rng.choice([0.05, 0.4, 3.0, 8.0]))


@trouble
async def all_end(stage: Stage) -> None:
    """For longer than a lease, or one of them back within a second."""
    rng = stage.world.rng
    for number, node in enumerate(list(stage.world.controllers)):
        stage.kill(node, rng.choice([0.2, 9.0, 16.0]) + number)


@trouble
async def leaders_change(stage: Stage) -> None:
    """Ten times in two minutes, handed over, handed back, ended, inside an outage too."""
    world = stage.world
    for turn in range(10):
        if turn == 4:
            world.store.outage(True)
            world.loop.call_later(5, world.store.outage, False)
        if world.leader is not None:
            if world.rng.random() < 0.5:
                world.leader.election.step_down(StepDownReason.FAULT)
            else:
                await leader_ends(stage)
        await asyncio.sleep(world.rng.uniform(0.3, 12))


@trouble
async def leader_stands_still(stage: Stage) -> None:
    leader = stage.leader()
    if leader is not None:
        await stage.world.stand_still(leader, stage.world.rng.choice([0.8, 2.5, 10.0]))


@trouble
async def leader_apart(stage: Stage) -> None:
    """Without the state service and the others, but with workers and users; jobs are cancelled."""
    world, leader = stage.world, stage.leader()
    if leader is None:
        return
    world.apart.add(leader)
    refused = world.rng.random() < 0.5
    state = world.ports[leader][0].trouble
    state.refused, state.cut = refused, not refused
    await asyncio.sleep(world.rng.uniform(2, 5))
    await cancel_now(stage)
    await asyncio.sleep(world.rng.uniform(2, 30))
    world.apart.discard(leader)
    now = world.ports[leader][0].trouble
    now.refused = now.cut = False


@trouble
async def zone_cut(stage: Stage) -> None:
    """A zone with its workers and a controller, which goes on inside, for longer than a lease."""
    world = stage.world
    zone, node = world.rng.choice(ZONES), world.rng.choice(world.nodes)
    inside = {name for name, worker in world.workers.items() if worker.zone == zone}
    cut = {(name, other) for name in inside for other in world.nodes if other != node}
    cut |= {(name, node) for name in world.workers if name not in inside}
    _gone(stage, world.cut_workers, cut, 20.0)
    world.apart.add(node)
    world.ports[node][0].trouble.cut = True
    await asyncio.sleep(20)
    world.apart.discard(node)
    world.ports[node][0].trouble.cut = False


# The state service


@trouble
async def refused_then_down(stage: Stage) -> None:
    """The leader alone, then everybody for longer than `cancel_s`, while users cancel and ask."""
    world, leader = stage.world, stage.leader()
    if leader is None:
        return
    world.ports[leader][0].trouble.refused = True
    stage.begin(cancel_now(stage))
    await asyncio.sleep(world.rng.choice([1.0, 1.0, 2.5]))
    world.store.outage(True)
    for _ in range(4):
        await asyncio.sleep(world.cancel / 4 + 1)
        stage.begin(cancel_now(stage))
    world.store.outage(False)
    world.ports[leader][0].trouble.refused = False


@trouble
async def outage(stage: Stage) -> None:
    stage.world.store.outage(True)
    await asyncio.sleep(stage.world.rng.uniform(1, 20))
    stage.world.store.outage(False)


async def _store(stage: Stage, name: str, share: float, for_s: float) -> None:
    for port in stage.all_ports():
        setattr(port, name, share)
    await asyncio.sleep(for_s)
    for port in stage.all_ports():
        setattr(port, name, 0.0)


@trouble
async def late_writes(stage: Stage) -> None:
    """Without an answer, and carried out after newer ones."""
    await _store(stage, "late", 0.3, 25)


@trouble
async def answers_lost(stage: Stage) -> None:
    """Carried out at once, and only the answer is lost, while others read."""
    await _store(stage, "lost", 0.4, 25)


@trouble
async def slow_store(stage: Stage) -> None:
    stage.world.store.latency = 1.2
    await asyncio.sleep(25)
    stage.world.store.latency = 0.004


# Machines


def _mute(stage: Stage, names: Iterable[str], for_s: float) -> None:
    cut = {(name, node) for name in names for node in stage.world.nodes}
    _gone(stage, stage.world.cut_workers, cut, for_s)


def _hang(stage: Stage, names: Iterable[str], times: list[float]) -> None:
    for name in names:
        worker = stage.world.workers[name]
        worker.hung = True
        stage.world.loop.call_later(stage.world.rng.choice(times), setattr, worker, "hung", False)


@trouble
async def machines_mute(stage: Stage) -> None:
    """They reach no controller."""
    _mute(stage, stage.some(0.4), stage.world.rng.uniform(5, 30))


@trouble
async def machines_deaf(stage: Stage) -> None:
    _gone(stage, stage.world.deaf, set(stage.some(0.4)), stage.world.rng.uniform(5, 40))


@trouble
async def machines_hang(stage: Stage) -> None:
    """They go on within their lease, or after it."""
    _hang(stage, stage.some(0.4), [3.0, 10.0, 20.0, 35.0])


@trouble
async def machines_die(stage: Stage) -> None:
    for name in stage.some(0.25):
        stage.world.workers.pop(name).gone()
        stage.world.cloud.machines[name].state = "failed"


@trouble
async def machines_reborn(stage: Stage) -> None:
    for name in stage.some(0.3):
        worker = stage.world.workers[name]
        worker.reborn(worker.incarnation + stage.world.rng.randint(0, 1))


@trouble
async def quick_machines(stage: Stage) -> None:
    """Up within two seconds, with work at once, while writes lag and the leader ends."""
    world = stage.world
    world.cloud.quick = True
    world.store.latency = 0.5
    stage.begin(stage.submit(pieces=40, urgency="high", true_s=10.0, expected_s=10.0))
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(1, 4))
        await leader_ends(stage)
    await asyncio.sleep(5)
    world.cloud.quick = False
    world.store.latency = 0.004


# Reports


@trouble
async def late_reports(stage: Stage) -> None:
    """Copies, up to long after a lease, at any node."""
    stage.world.copies = 0.5
    await asyncio.sleep(25)
    stage.world.copies = 0.0


@trouble
async def held_up(stage: Stage) -> None:
    """Reports, commands and answers come seconds late."""
    stage.world.slow = 0.4
    await asyncio.sleep(25)
    stage.world.slow = 0.0


@trouble
async def kept_for_the_next(stage: Stage) -> None:
    """Old reports, and reports that were held back, reach every controller as a new leader begins."""
    world = stage.world
    kept: list[Request] = []
    world.kept = kept
    held = [cbor2.dumps(worker._body()) for worker in world.workers.values()]
    await asyncio.sleep(world.rng.uniform(2, 12))
    world.kept = None
    fencing_token = world.leader.election.fencing_token if world.leader is not None else 0
    await leader_ends(stage)
    for _ in range(200):
        await asyncio.sleep(0.05)
        if world.leader is not None and world.leader.election.fencing_token > fencing_token:
            break
    late = [Request("POST", "/agent/beat", {}, body) for body in held]
    for _ in range(2):
        for node in list(world.controllers):
            for request in kept[-40:] + late:
                world.loop.call_later(world.rng.uniform(0, 0.3), world._copy, node, request)
        await asyncio.sleep(world.rng.uniform(0.5, 6))


# Users


@trouble
async def cancel_now(stage: Stage) -> None:
    """Some that run, first those of the team at its limit, within a fifth of a second."""
    on = {task.rpartition("/")[0] for _, task in stage.world.rules.where}
    jobs = stage.unfinished()
    stage.world.rng.shuffle(jobs)
    specs = stage.world.rules.specs
    jobs.sort(key=lambda one: (one not in on, specs[one]["crew"] != "red"))
    for job_id in jobs[:3]:
        stage.world.loop.call_later(
            stage.world.rng.uniform(0, 0.2),
            lambda one=job_id: stage.begin(stage.cancel(one)),  # type: ignore[misc]
        )


@trouble
async def cancel_and_hang(stage: Stage) -> None:
    """Cancelled, and machines of the team at its limit hang at that moment or can't be reached."""
    world = stage.world
    specs = world.rules.specs
    theirs = {name for name, task in world.rules.where if specs[task.rpartition("/")[0]]["crew"] == "red"}
    await cancel_now(stage)
    await asyncio.sleep(0.25)
    if world.rng.random() < 0.5:
        _mute(stage, theirs, world.rng.uniform(8, 30))
    else:
        _hang(stage, theirs & world.workers.keys(), [10.0, 20.0])


@trouble
async def cancel_at_end(stage: Stage) -> None:
    """A job is called off, asked about or submitted again at the moment of its last task's end."""
    world = stage.world

    async def one() -> None:
        takes = world.rng.uniform(1, 3)
        job_id = await stage.submit(pieces=world.rng.randint(1, 2), urgency="high", true_s=takes, expected_s=takes)
        if job_id is None:
            return
        end = world.loop.now + 20
        while world.loop.now < end and not any(task.startswith(job_id) for task in world.rules.finished):
            await asyncio.sleep(0.05)
        await asyncio.sleep(world.rng.uniform(0, 0.7))
        await (stage.cancel(job_id) if world.rng.random() < 0.5 else stage.look(job_id))

    for _ in range(8):
        stage.begin(one())
        await asyncio.sleep(world.rng.uniform(0.2, 2))


@trouble
async def stream(stage: Stage) -> None:
    """One-task jobs, four a second, a quarter of them cancelled, some at once."""
    world = stage.world

    async def one() -> None:
        job_id = await stage.submit(pieces=1, urgency="high", true_s=3.0, expected_s=3.0)
        if job_id is not None and world.rng.random() < 0.25:
            await asyncio.sleep(world.rng.choice([0.0, 1.0, 3.0]))
            await stage.cancel(job_id)

    for _ in range(100):
        stage.begin(one())
        await asyncio.sleep(0.25)


@trouble
async def close_looks(stage: Stage) -> None:
    """All nodes are asked right after a job was accepted; some cancel at once."""
    world = stage.world

    async def one() -> None:
        job_id = await stage.submit(pieces=2, true_s=4.0, expected_s=4.0)
        if job_id is not None:
            await stage.look(job_id)
            if world.rng.random() < 0.5:
                await stage.cancel(job_id)

    for _ in range(12):
        stage.begin(one())
        await asyncio.sleep(world.rng.uniform(0.3, 3))


@trouble
async def odd_requests(stage: Stage) -> None:
    """What can't run or lacks a field, repeats, and cancellations of what is done."""
    world = stage.world
    odd: list[dict[str, Any]] = [
        {"cpus": 17.0},
        {"crew": "green"},
        {"crew": "red", "cpus": 13.0},
        {"builds": ["none"]},
        {"yard": "south"},
        {"ram_gb": 65.0},
    ]
    for number in range(20):
        spec = stage.spec(**world.rng.choice(odd))
        if number % 3 == 0:
            del spec[world.rng.choice(["crew", "pieces", "cpus", "kit", "urgency", "expected_s"])]
        world.rules.specs[spec["name_id"]] = spec
        world.rules.impossible.add(spec["name_id"])
        answer = await world.offer(spec)
        assert answer.status in (400, 422, 429, 503, 504), answer
        assert answer.retry_after is not None or answer.status not in (429, 503), answer
        ended = [one for one, told in world.rules.told.items() if told == "done"]
        if ended:
            stage.begin(stage.cancel(world.rng.choice(ended)))
        if stage.unfinished():
            stage.begin(world.offer(world.rules.specs[world.rng.choice(stage.unfinished())]))
        assert (await world.ask("GET", "/submissions/run-999999")).status in (404, 429, 503, 504)
        await asyncio.sleep(1)


@trouble
async def overload(stage: Stage) -> None:
    """More work than room, urgent and not, over slow links."""
    stage.begin(held_up(stage))
    for _ in range(10):
        for urgency in ("high", "normal", "best_effort"):
            stage.begin(stage.submit(pieces=12, cpus=2.0, urgency=urgency, true_s=6.0, expected_s=6.0))
        await asyncio.sleep(2)


async def watch(world: World) -> None:
    """Judges what is on machines all the time, and asks whether work waits beside room."""
    while True:
        await asyncio.sleep(0.25)
        world.rules.check_cancelled()
        world.rules.check_waiting(partial(_room, world))


def _room(world: World, spec: dict[str, Any]) -> bool:
    for worker in world.workers.values():
        live = [task for task in worker.tasks.values() if task.state != "exited"]
        used = sum(world.rules.specs[task.name.rpartition("/")[0]]["cpus"] for task in live)
        if (
            worker.interruption_at is None
            and (spec["builds"] is None or worker.machine_type["name"] in spec["builds"])
            and spec["yard"] in (None, worker.zone)
            and (spec["loaners"] or not worker.spot)
            and not spec["one_zone"]
            and not spec["scatter"]
            and worker.machine_type["cpus"] - used >= spec["cpus"]
        ):
            return True
    return False
