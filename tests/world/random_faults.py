"""Random faults for generated histories: each is injected by name, and all are cleared together."""

from collections.abc import Awaitable, Callable
from functools import partial

from hypothesis import HealthCheck, Phase, settings

from elmthread.leadership.step_down import StepDownReason
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.world import World, start

# Hypothesis settings of generated histories: the same examples in every run, and a failing example is reported
# without shrinking, which takes minutes.
HISTORY_SETTINGS = settings(
    deadline=None,
    database=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


async def inject_fault(world: World, kind: str, ids: list[str]) -> None:
    """Inject a fault of this kind, if there is anything that it can affect."""
    await INJECTORS[kind](world, ids)


async def _kill(world: World, ids: list[str]) -> None:
    _restart_one(world, 0.1, 8)


async def _restart_quickly(world: World, ids: list[str]) -> None:
    _restart_one(world, 0.02, 0.4)


def _restart_one(world: World, shortest_s: float, longest_s: float) -> None:
    if world.controllers:
        name = world.rng.choice(list(world.controllers))
        world.kill(name)
        world.loop.call_later(world.rng.uniform(shortest_s, longest_s), partial(start, world, name))


async def _kill_all(world: World, ids: list[str]) -> None:
    for name in list(world.controllers):
        world.kill(name)
    for name in NODES:
        world.loop.call_later(world.rng.uniform(0.1, 8), partial(start, world, name))


async def _outage(world: World, ids: list[str]) -> None:
    world.store.outage(True)
    world.loop.call_later(world.rng.uniform(1, 20), world.store.outage, False)


async def _store_fault(field: str, value: float, world: World, ids: list[str]) -> None:
    if world.controllers:
        setattr(world.ports[world.rng.choice(list(world.controllers))].store.faults, field, value)


async def _hang(world: World, ids: list[str]) -> None:
    if world.workers:
        worker = world.rng.choice(list(world.workers.values()))
        worker.hung = True
        world.loop.call_later(world.rng.uniform(2, 40), setattr, worker, "hung", False)


async def _fail_machine(world: World, ids: list[str]) -> None:
    if world.workers:
        name = world.rng.choice(list(world.workers))
        world.workers.pop(name).terminate()
        world.cloud.machines[name].state = "failed"


async def _cancel(world: World, ids: list[str]) -> None:
    if ids:
        await world.withdraw(world.rng.choice(ids), 3.0)


async def _step_down(world: World, ids: list[str]) -> None:
    # Often the same node wins again while it is still preparing responses to workers.
    if world.leader is not None:
        world.leader.election.step_down(StepDownReason.FAULT)


async def _without_responses(world: World, ids: list[str]) -> None:
    if world.workers:
        name = world.rng.choice(list(world.workers))
        world.workers_without_responses.add(name)
        world.loop.call_later(world.rng.uniform(3, 40), world.workers_without_responses.discard, name)


async def _duplicates(world: World, ids: list[str]) -> None:
    world.duplicate_share = 0.5


async def _isolate(world: World, ids: list[str]) -> None:
    if world.controllers:
        set_isolated(world, world.rng.choice(list(world.controllers)), True)


async def _restart_worker(world: World, ids: list[str]) -> None:
    if world.workers:
        worker = world.rng.choice(list(world.workers.values()))
        worker.restart(worker.incarnation + world.rng.randint(0, 1))


async def _duplicate_changes(world: World, ids: list[str]) -> None:
    if world.controllers:
        for port in world.ports[world.rng.choice(list(world.controllers))]:
            port.faults.duplicate_share = 0.5


async def _suspend(everybody: bool, world: World, ids: list[str]) -> None:
    rng, names = world.rng, list(world.controllers)
    if not names:
        return
    seconds = rng.choice([rng.uniform(0.5, 4.5), rng.uniform(4.5, 30.0)])
    for name in names if everybody else [rng.choice(names)]:
        world.loop.create_task(world.suspend(name, seconds))


async def _burst(world: World, ids: list[str]) -> None:
    number = world.rng.randint(100, 999_999)
    spec = job(number, crew="red", urgency="high", pieces=6, cpus=2.0)
    if await world.submit(spec, 3.0):
        ids.append(spec["name_id"])


# Generated histories are drawn from these names in this order.
INJECTORS: dict[str, Callable[[World, list[str]], Awaitable[None]]] = {
    "kill": _kill,
    "kill_all": _kill_all,
    "outage": _outage,
    "refused": partial(_store_fault, "refused", True),
    "cut": partial(_store_fault, "cut", True),
    "hang": _hang,
    "die": _fail_machine,
    "lossy": partial(_store_fault, "lost_response_share", 0.3),
    "late": partial(_store_fault, "late_share", 0.3),
    "cancel": _cancel,
    "burst": _burst,
    "step_down": _step_down,
    "deaf": _without_responses,
    "copies": _duplicates,
    "apart": _isolate,
    "reborn": _restart_worker,
    "back": _restart_quickly,
    "twice": _duplicate_changes,
    "still": partial(_suspend, False),
    "still_all": partial(_suspend, True),
}
FAULT_NAMES = list(INJECTORS)


def set_isolated(world: World, node: str, isolated: bool) -> None:
    """Cut a node off from the store and the other controllers, or connect it again."""
    (world.isolated_nodes.add if isolated else world.isolated_nodes.discard)(node)
    world.ports[node].store.faults.cut = isolated


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
        store_faults = world.ports[name].store.faults
        store_faults.refused = store_faults.cut = False
        store_faults.duplicate_share = world.ports[name].cloud.faults.duplicate_share = 0.0
        store_faults.lost_response_share = store_faults.late_share = 0.0
