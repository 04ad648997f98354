"""Who runs where: pure functions over a view of what waits and what has room."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from elmthread.common.clock import ZERO


@dataclass(slots=True)
class Slot:
    """A machine with room."""

    name: str
    build: str
    zone: str
    spot: bool
    cpus: float
    cards: float
    ram: float
    price: float = 0.0  # an hour and core
    fetch_rate: float = 1.0
    images: frozenset[str] | dict[str, float] = frozenset()
    most: int = 1000  # tasks it may still be given
    fading: bool = False


@dataclass(slots=True)
class Want:
    """Tasks of one job that wait for room, all alike."""

    job: str
    team: str
    order: tuple[float, ...]
    count: int
    cpus: float
    cards: float
    ram: float
    image: str = ""
    image_gb: float = 0.0
    types: frozenset[str] | None = None
    zone: str | None = None
    spot: bool = True
    one_zone: bool = False
    # Tasks of the job by zone, as far as they may be on machines now.
    zones: dict[str, int] = field(default_factory=dict)
    zone_most: float = math.inf  # for a spread job: most tasks in one zone
    urgent: bool = False


@dataclass(slots=True)
class Room:
    """What a team may still use."""

    cpus: float = math.inf
    cards: float = math.inf


TINY = 1e-6


def allowed(want: Want, build: str, zone: str, spot: bool) -> bool:
    """The job's own word on types, zones and spot machines."""
    return (
        (want.types is None or build in want.types)
        and (want.zone is None or zone == want.zone)
        and (want.spot or not spot)
        and not (want.one_zone and want.zones and zone not in want.zones)
    )


def fits(want: Want, slot: Slot, room: Room) -> int:
    """How many of the tasks the machine, the team's limit and the zones take."""
    if not allowed(want, slot.build, slot.zone, slot.spot):
        return 0
    count = min(want.count, slot.most)
    cpus = min(slot.cpus, room.cpus)
    if want.cpus > 0:
        count = min(count, int(cpus / want.cpus + TINY))
    if want.cards > 0:
        count = min(count, int(min(slot.cards, room.cards) / want.cards + TINY))
    if want.ram > 0:
        count = min(count, int(slot.ram / want.ram + TINY))
    if want.zone_most < math.inf:
        count = min(count, int(want.zone_most) - want.zones.get(slot.zone, 0))
    return max(0, count)


def _fetch_time(want: Want, slot: Slot) -> float:
    return 0.0 if want.image in slot.images else want.image_gb / slot.fetch_rate


def preference(want: Want, slot: Slot, cheapest: float) -> tuple[bool, float, float]:
    """Small is better: machines that are to empty come last; then the time to fetch the
    image and the price; full machines first.

    Price is weighed in seconds: a machine at twice the cheapest price per core counts like
    ten seconds of waiting for an image, for urgent work like two.
    """
    weight = 2.0 if want.urgent else 10.0
    dearer = (slot.price / cheapest - 1.0) if cheapest > 0 else 0.0
    return (slot.fading, _fetch_time(want, slot) + weight * min(dearer, 5.0), slot.cpus)


def place(wants: Iterable[Want], slots: list[Slot], rooms: dict[str, Room]) -> list[tuple[Want, Slot, int]]:
    """Gives tasks to machines in the order of `wants`; slots, rooms and wants are used up."""
    placed: list[tuple[Want, Slot, int]] = []
    cheapest = min((slot.price for slot in slots), default=0.0)
    open_slots = [slot for slot in slots if slot.cpus > TINY]
    for want in wants:
        room = rooms.setdefault(want.team, Room())
        if want.count <= 0:
            continue
        if room.cpus + TINY < want.cpus:
            if want.urgent:
                _keep_for(room)
            continue
        choice = [slot for slot in open_slots if fits(want, slot, room)]
        choice.sort(key=lambda slot: preference(want, slot, cheapest))
        for slot in choice:
            count = fits(want, slot, room)
            if count <= 0:
                continue
            take(want, slot, room, count)
            placed.append((want, slot, count))
            if want.count <= 0:
                break
        if want.urgent and want.count > 0 and room.cpus + TINY < want.cpus:
            _keep_for(room)
        open_slots = [slot for slot in open_slots if slot.cpus > TINY]
    return placed


def _keep_for(room: Room) -> None:
    """What the team has left gathers for its urgent task, or smaller ones would take it each time."""
    room.cpus = 0.0


def take(want: Want, slot: Slot, room: Room, count: int) -> None:
    want.count -= count
    want.zones[slot.zone] = want.zones.get(slot.zone, 0) + count
    slot.cpus -= count * want.cpus
    slot.cards -= count * want.cards
    slot.ram -= count * want.ram
    slot.most -= count
    room.cpus -= count * want.cpus
    room.cards -= count * want.cards


@dataclass(slots=True)
class Victim:
    """A running task that may be stopped, and what stopping it loses."""

    attempt: int
    machine: str
    team: str
    cpus: float
    cards: float
    ram: float
    loss: timedelta = ZERO


def preempt(want: Want, slots: dict[str, Slot], victims: list[Victim], room: Room) -> list[Victim]:
    """The tasks to stop so that `want` gets room: those that lose least for the room they give.

    `slots` counts room that is already being freed. Each machine is filled as far as its
    victims allow; machines where the loss for each task gained is least come first.
    """
    chosen: list[Victim] = []
    by_machine: dict[str, list[Victim]] = {}
    for victim in victims:
        by_machine.setdefault(victim.machine, []).append(victim)
    # A team at its limit makes room for its urgent work itself, wherever its tasks run.
    own = sorted((victim for victim in victims if victim.team == want.team), key=lambda victim: victim.loss)
    while own and room.cpus + TINY < want.count * want.cpus:
        victim = own.pop(0)
        by_machine[victim.machine].remove(victim)
        room.cpus += victim.cpus
        room.cards += victim.cards
        slot = slots.get(victim.machine)
        if slot is not None:
            slot.cpus += victim.cpus
            slot.cards += victim.cards
            slot.ram += victim.ram
        chosen.append(victim)
    if chosen:
        place([want], list(slots.values()), {want.team: room})
    while want.count > 0 and room.cpus + TINY >= want.cpus:
        best: tuple[float, list[Victim], Slot] | None = None
        for name, held in by_machine.items():
            slot = slots.get(name)
            if slot is None or not allowed(want, slot.build, slot.zone, slot.spot):
                continue
            if want.zone_most < math.inf and want.zones.get(slot.zone, 0) >= want.zone_most:
                continue
            some = _enough(want, slot, held)
            if some is None:
                continue
            loss = sum(victim.loss.total_seconds() * victim.cpus for victim in some)
            if best is None or loss < best[0]:
                best = (loss, some, slot)
        if best is None:
            break
        _, some, slot = best
        for victim in some:
            by_machine[slot.name].remove(victim)
            slot.cpus += victim.cpus
            slot.cards += victim.cards
            slot.ram += victim.ram
        chosen += some
        take(want, slot, room, 1)
    return chosen


def _enough(want: Want, slot: Slot, held: list[Victim]) -> list[Victim] | None:
    """The cheapest victims on one machine whose room, with what is free, takes one task."""
    cpus, cards, ram = slot.cpus, slot.cards, slot.ram
    some: list[Victim] = []
    for victim in sorted(held, key=lambda victim: victim.loss):
        if cpus + TINY >= want.cpus and cards + TINY >= want.cards and ram + TINY >= want.ram:
            break
        some.append(victim)
        cpus += victim.cpus
        cards += victim.cards
        ram += victim.ram
    if cpus + TINY >= want.cpus and cards + TINY >= want.cards and ram + TINY >= want.ram:
        return some
    return None
