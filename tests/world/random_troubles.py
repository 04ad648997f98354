"""Random troubles for generated histories: each is begun by its name, and all are ended together."""

from functools import partial

from hypothesis import HealthCheck, Phase, settings

from elmthread.leadership.step_down import StepDownReason
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.world import World, start

TROUBLES = [
    "kill",
    "kill_all",
    "outage",
    "refused",
    "cut",
    "hang",
    "die",
    "lossy",
    "late",
    "cancel",
    "burst",
    "step_down",
    "deaf",
    "copies",
    "apart",
    "reborn",
    "back",
    "twice",
    "still",
    "still_all",
]
# How generated histories are played: the same in every run, and a failing one is told as it is,
# since making it smaller takes minutes.
HISTORIES = settings(
    deadline=None,
    database=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


async def befall(world: World, kind: str, ids: list[str]) -> None:
    rng = world.rng
    if kind == "kill" and world.controllers:
        name = rng.choice(list(world.controllers))
        world.kill(name)
        world.loop.call_later(rng.uniform(0.1, 8), partial(start, world, name))
    elif kind == "kill_all":
        for name in list(world.controllers):
            world.kill(name)
        for name in NODES:
            world.loop.call_later(rng.uniform(0.1, 8), partial(start, world, name))
    elif kind == "outage":
        world.store.outage(True)
        world.loop.call_later(rng.uniform(1, 20), world.store.outage, False)
    elif kind in ("refused", "cut", "lossy", "late") and world.controllers:
        trouble = world.ports[rng.choice(list(world.controllers))].store.faults
        if kind == "refused":
            trouble.refused = True
        elif kind == "cut":
            trouble.cut = True
        elif kind == "lossy":
            trouble.lost_response_share = 0.3
        else:
            trouble.late_share = 0.3
    elif kind == "hang" and world.workers:
        worker = rng.choice(list(world.workers.values()))
        worker.hung = True
        world.loop.call_later(rng.uniform(2, 40), setattr, worker, "hung", False)
    elif kind == "die" and world.workers:
        name = rng.choice(list(world.workers))
        world.workers.pop(name).terminate()
        world.cloud.machines[name].state = "failed"
    elif kind == "cancel" and ids:
        await world.withdraw(rng.choice(ids), 3.0)
    elif kind == "step_down" and world.leader is not None:
        # Often the same node wins again while its answers to workers are still being made.
        world.leader.election.step_down(StepDownReason.FAULT)
    elif kind == "deaf" and world.workers:
        name = rng.choice(list(world.workers))
        world.workers_without_responses.add(name)
        world.loop.call_later(rng.uniform(3, 40), world.workers_without_responses.discard, name)
    elif kind == "copies":
        world.duplicate_share = 0.5
    elif kind == "apart" and world.controllers:
        set_apart(world, rng.choice(list(world.controllers)), True)
    elif kind == "reborn" and world.workers:
        worker = rng.choice(list(world.workers.values()))
        worker.restart(worker.incarnation + rng.randint(0, 1))
    elif kind == "back" and world.controllers:
        name = rng.choice(list(world.controllers))
        world.kill(name)
        world.loop.call_later(rng.uniform(0.02, 0.4), partial(start, world, name))
    elif kind == "twice" and world.controllers:
        for port in world.ports[rng.choice(list(world.controllers))]:
            port.faults.duplicate_share = 0.5
    elif kind in ("still", "still_all") and world.controllers:
        names = list(world.controllers)
        seconds = rng.choice([rng.uniform(0.5, 4.5), rng.uniform(4.5, 30.0)])
        for name in names if kind == "still_all" else [rng.choice(names)]:
            world.loop.create_task(world.suspend(name, seconds))
    elif kind == "burst":
        number = rng.randint(100, 999_999)
        spec = job(number, crew="red", urgency="high", pieces=6, cpus=2.0)
        if await world.submit(spec, 3.0):
            ids.append(spec["name_id"])


def set_apart(world: World, node: str, apart: bool) -> None:
    """Takes the state service and the other controllers from a node, or gives them back."""
    (world.isolated_nodes.add if apart else world.isolated_nodes.discard)(node)
    world.ports[node].store.faults.cut = apart


def restore(world: World) -> None:
    world.duplicate_share = 0.0
    world.workers_without_responses.clear()
    world.isolated_nodes.clear()
    for name in list(world.loop.suspended):
        world.loop.resume(name)
    world.store.outage(False)
    for name in world.nodes:
        if name not in world.controllers:
            world.start(name)
        trouble = world.ports[name].store.faults
        trouble.refused = trouble.cut = False
        trouble.duplicate_share = world.ports[name].cloud.faults.duplicate_share = 0.0
        trouble.lost_response_share = trouble.late_share = 0.0
