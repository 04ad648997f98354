"""Users, machines and leaders of a traced day, drawn from a seed."""

import asyncio
import random
from typing import Any

from tests.world.settings import ZONES
from tests.world.specs import daemon, job
from tests.world.world import World

FORMS: list[dict[str, Any]] = [
    {},
    {"pieces": 40, "cpus": 0.5},
    {"pieces": 150, "cpus": 0.25, "ram_gb": 0.2, "true_s": 5.0, "expected_s": 5.0},
    {"pieces": 6, "one_zone": True, "kit": "img-2"},
    {"pieces": 8, "scatter": True, "snapshot_every_s": 5.0, "snapshot_s": 1.0},
    {"pieces": 3, "builds": ["large"], "cpus": 6.0, "ram_gb": 24.0, "kit": "img-3", "size_gb": 6.0},
    {"pieces": 5, "builds": ["small"], "yard": "north", "loaners": False},
    {"pieces": 1, "cpus": 14.0, "ram_gb": 50.0, "due_s": 60.0},
    {"pieces": 12, "due_s": 90.0, "expected_s": 20.0, "true_s": 20.0},
]
SERVICES: list[dict[str, Any]] = [{}, {"pieces": 4, "scatter": False, "one_zone": True}, {"pieces": 2, "loaners": True}]
PRIORITIES = ["production", "high", "normal", "best_effort"]
INVALID_FIELDS: list[dict[str, Any]] = [
    {"pieces": 0},
    {"cpus": -1.0},
    {"urgency": "soon"},
    {"cpus": 500.0},
    {"cards": 1.0},
    {"form": "other"},
]


def leader_of(world: World) -> str:
    """Return the node that leads now, or the first one where none does."""
    return next((node for node, one in world.controllers.items() if one is world.leader), world.nodes[0])


def draw_submission(rng: random.Random, number: int) -> dict[str, Any]:
    """Return a random submission of any form, priority and team."""
    crew = rng.choice(["red", "blue", "blue"])
    if rng.random() < 0.2:
        ends = rng.choice([{}, {"true_s": 40.0, "ends": rng.choice(["done", "error"])}])
        return daemon(number, crew=crew, cpus=0.5, **(rng.choice(SERVICES) | ends))
    spec = job(number, urgency=rng.choice(PRIORITIES), **rng.choice(FORMS))
    return spec | {"crew": crew if spec["cpus"] < 12 else "blue"}


async def run_users(world: World, rng: random.Random, count: int, pause: float = 2.0, first: int = 0) -> None:
    """Submit jobs one after another; in between query, resubmit, cancel, and send invalid submissions."""
    ids: list[str] = []
    pending: set[asyncio.Future[Any]] = set()
    for number in range(first, first + count):
        spec = draw_submission(rng, number)
        pending.add(asyncio.ensure_future(world.submit(spec)))
        ids.append(spec["name_id"])
        await asyncio.sleep(rng.uniform(0.2, 2 * pause))
        if rng.random() < 0.3:
            pending.add(asyncio.ensure_future(world.submit_once(spec)))
        if rng.random() < 0.25:
            pending.add(asyncio.ensure_future(world.withdraw(rng.choice(ids))))
        if rng.random() < 0.2:
            await world.ask("POST", "/submissions", job(900_000 + number, **rng.choice(INVALID_FIELDS)))
        await query_at_random(world, rng, ids)
    await asyncio.gather(*pending)


async def query_at_random(world: World, rng: random.Random, ids: list[str]) -> None:
    """Query a job, and sometimes one that does not exist and the readiness of a node."""
    await world.poll(rng.choice(ids))
    if rng.random() < 0.2:
        await world.ask("GET", "/submissions/run-999999")
        await world.ask("POST", "/submissions/run-999999/withdraw")
        await world.ask("GET", "/ready")


def rent_machines(world: World, count: int) -> None:
    """Rent machines in all zones, some of them spot machines."""
    for index in range(count):
        world.rent("small" if index % 3 else "large", ZONES[:2][index % 2] if index % 3 == 0 else ZONES[index % 3])
    for index in range(count // 2):
        world.rent("small", ZONES[index % 3], spot=True)


async def interrupt_spot_machines(world: World, rng: random.Random, count: int, pause: float) -> None:
    """Interrupt spot machines, each after a notice of 12 s."""
    for _ in range(count):
        await asyncio.sleep(pause)
        names = sorted(name for name, worker in world.workers.items() if worker.spot)
        if not names:
            continue
        name = rng.choice(names)
        world.workers[name].interruption_at = world.loop.now + 12
        world.workers[name].state_changed.set()
        await asyncio.sleep(12)
        if world.cloud.machines.pop(name, None) is not None:
            world.cloud.on_deleted(name)


async def query_until(world: World, rng: random.Random, end: float) -> None:
    """Query all jobs at random until the day ends."""
    while world.loop.now < end:
        for job_id in sorted(world.rules.specs):
            if rng.random() < 0.2:
                await world.poll(job_id)
        await asyncio.sleep(3)
