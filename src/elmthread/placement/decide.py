"""Who runs where: pure functions over a view of what waits and what has room."""

import heapq
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum

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
    # Images that it fetches now, or will for tasks it has been given.
    coming: set[str] = field(default_factory=set)
    record_left: float = math.inf  # bytes that its record in the store may still take
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
    # Machines on which the job has failed: not tried again there.
    avoid: Collection[str] = frozenset()
    urgent: bool = False
    rank: int = 0
    # Bytes that its tasks take in a machine's record: once for the job, and for each task.
    entry: int = 0
    each: int = 0
    # Replicas that one machine is given as long as others have room: what takes the machine
    # should not take all of a service.
    machine_most: float = math.inf
    # Tasks of the job by machine, as far as they may be there now; kept only with such a bound.
    machines: dict[str, int] = field(default_factory=dict)


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


def fits(want: Want, slot: Slot, room: Room, apart: bool = False) -> int:
    """How many of the tasks the machine, the team's limit and the zones take.

    `apart`: no more of them on one machine than are to stand there if others have room.
    """
    if slot.name in want.avoid or not allowed(want, slot.build, slot.zone, slot.spot):
        return 0
    count = want.count
    if want.each > 0 and slot.record_left < want.entry + count * want.each:
        count = int((slot.record_left - want.entry) // want.each)
    if apart and want.machine_most < math.inf:
        count = min(count, int(want.machine_most) - want.machines.get(slot.name, 0))
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


class Fetch(IntEnum):
    """How a machine stands to a job's image: several images share the rate of one machine."""

    THERE = 0
    COMING = 1
    ALONE = 2
    SHARED = 3


# Parts of an image's own fetch time that each costs.
FETCH_COST = {Fetch.THERE: 0.0, Fetch.COMING: 0.5, Fetch.ALONE: 1.0, Fetch.SHARED: 2.0}


def way_to_image(want: Want, slot: Slot) -> Fetch:
    if want.image in slot.images:
        return Fetch.THERE
    if want.image in slot.coming:
        return Fetch.COMING
    return Fetch.SHARED if slot.coming else Fetch.ALONE


def dearness(want: Want, price: float, cheapest: float) -> float:
    """Price weighed in seconds: a machine at twice the cheapest price per core counts like
    ten seconds of waiting for an image, for urgent work like two.
    """
    weight = 2.0 if want.urgent else 10.0
    return weight * min(price / cheapest - 1.0 if cheapest > 0 else 0.0, 5.0)


class _Shelf:
    """Machines alike but for their room, images and zone, the fullest first."""

    def __init__(self, slots: list[Slot]) -> None:
        self.slots = slots
        self.sorted = False

    def in_order(self) -> list[Slot]:
        if not self.sorted:
            self.slots = [slot for slot in self.slots if slot.cpus > TINY]
            self.slots.sort(key=_fullest)
            self.sorted = True
        return self.slots


def _fullest(slot: Slot) -> tuple[float, str]:
    return (slot.cpus, slot.name)


def place(wants: Iterable[Want], slots: Iterable[Slot], rooms: dict[str, Room]) -> list[tuple[Want, Slot, int]]:
    """Gives tasks to machines in the order of `wants`; slots, rooms and wants are used up.

    Machines that differ only in room, images and zone stand on one shelf, so that a job is
    weighed against a few shelves and not against every machine. `tests/plain.py` looks at
    every machine; the tests compare the two.
    """
    placed: list[tuple[Want, Slot, int]] = []
    by_kind: dict[tuple[bool, str, bool, float, float], list[Slot]] = {}
    cheapest = math.inf
    for slot in slots:
        cheapest = min(cheapest, slot.price)
        if slot.cpus > TINY:
            by_kind.setdefault((slot.fading, slot.build, slot.spot, slot.price, slot.fetch_rate), []).append(slot)
    shelves = [_Shelf(some) for some in by_kind.values()]
    for want in wants:
        room = rooms.setdefault(want.team, Room())
        if want.count <= 0:
            continue
        if room.cpus + TINY < want.cpus:
            if want.urgent:
                keep_for(room)
            continue
        if want.machine_most < math.inf:
            _give(want, shelves, cheapest, room, True, placed)
        if want.count > 0 and room.cpus + TINY >= want.cpus:
            _give(want, shelves, cheapest, room, False, placed)
        if want.urgent and want.count > 0 and room.cpus + TINY < want.cpus:
            keep_for(room)
    return placed


def _give(
    want: Want,
    shelves: list[_Shelf],
    cheapest: float,
    room: Room,
    apart: bool,
    placed: list[tuple[Want, Slot, int]],
) -> None:
    # Each shelf counts once for each way in which its machines come by the image.
    ranks = []
    for number, shelf in enumerate(shelves):
        if not shelf.in_order():
            continue
        one = shelf.slots[0]
        if (want.types is not None and one.build not in want.types) or (one.spot and not want.spot):
            continue
        if shelf.slots[-1].cpus + TINY < want.cpus:
            continue
        time, dear = want.image_gb / one.fetch_rate, dearness(want, one.price, cheapest)
        ranks += [(one.fading, FETCH_COST[way] * time + dear, number, way) for way in Fetch]
    ranks.sort()
    ways: dict[int, dict[Fetch, list[Slot]]] = {}
    for _, _, number, way in ranks:
        shelf = shelves[number]
        if number not in ways:
            ways[number] = {}
            for slot in shelf.slots:
                ways[number].setdefault(way_to_image(want, slot), []).append(slot)
        for slot in ways[number].get(way, ()):
            count = fits(want, slot, room, apart)
            if count <= 0:
                continue
            take(want, slot, room, count)
            shelf.sorted = False
            placed.append((want, slot, count))
            if want.count <= 0 or room.cpus + TINY < want.cpus:
                return


def keep_for(room: Room) -> None:
    """What the team has left gathers for its urgent task, or smaller ones would take it each time."""
    room.cpus = 0.0


def take(want: Want, slot: Slot, room: Room, count: int) -> None:
    want.count -= count
    want.zones[slot.zone] = want.zones.get(slot.zone, 0) + count
    slot.cpus -= count * want.cpus
    slot.cards -= count * want.cards
    slot.ram -= count * want.ram
    slot.record_left -= want.entry + count * want.each
    if want.machine_most < math.inf:
        want.machines[slot.name] = want.machines.get(slot.name, 0) + count
    if want.image not in slot.images:
        slot.coming.add(want.image)
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
    rank: int = 9


def preempt(want: Want, slots: dict[str, Slot], victims: dict[str, list[Victim]], room: Room) -> list[Victim]:
    """The tasks to stop so that `want` gets room: those that lose least for the room they give.

    `slots` counts room that is already being freed; `victims` are by machine, and those that
    are chosen are taken out. Machines where the loss for one task's room is least come first.
    """
    chosen: list[Victim] = []

    def stop(victim: Victim) -> None:
        victims[victim.machine].remove(victim)
        slot = slots.get(victim.machine)
        if slot is not None:
            slot.cpus += victim.cpus
            slot.cards += victim.cards
            slot.ram += victim.ram
        chosen.append(victim)

    # A team at its limit makes room for its urgent work itself, wherever its tasks run.
    if room.cpus + TINY < want.count * want.cpus:
        own = [one for held in victims.values() for one in held if one.team == want.team and one.rank > want.rank]
        own.sort(key=lambda victim: victim.loss)
        for victim in own:
            if room.cpus + TINY >= want.count * want.cpus:
                break
            room.cpus += victim.cpus
            room.cards += victim.cards
            stop(victim)
        if chosen:
            place([want], slots.values(), {want.team: room})
    if want.count <= 0 or room.cpus + TINY < want.cpus:
        return chosen
    # One look at each machine, then the best again and again: only its own offer changes.
    offers: list[tuple[float, int, str]] = []

    def offer(order: int, name: str) -> None:
        slot = slots.get(name)
        if slot is None or name in want.avoid or not allowed(want, slot.build, slot.zone, slot.spot):
            return
        some = enough(want, slot, victims[name])
        if some is not None:
            loss = sum(victim.loss.total_seconds() * victim.cpus for victim in some)
            heapq.heappush(offers, (loss, order, name))

    for order, name in enumerate(victims):
        offer(order, name)
    while offers and want.count > 0 and room.cpus + TINY >= want.cpus:
        _, order, name = heapq.heappop(offers)
        slot = slots[name]
        if not allowed(want, slot.build, slot.zone, slot.spot):
            continue
        if want.zones.get(slot.zone, 0) >= want.zone_most:
            continue
        some = enough(want, slot, victims[name])
        if some is None:
            continue
        for victim in some:
            stop(victim)
        take(want, slot, room, 1)
        offer(order, name)
    return chosen


def enough(want: Want, slot: Slot, held: list[Victim]) -> list[Victim] | None:
    """The cheapest victims on one machine whose room, with what is free, takes one task."""
    cpus, cards, ram = slot.cpus, slot.cards, slot.ram
    some: list[Victim] = []
    for victim in sorted((one for one in held if one.rank > want.rank), key=lambda victim: victim.loss):
        if cpus + TINY >= want.cpus and cards + TINY >= want.cards and ram + TINY >= want.ram:
            break
        some.append(victim)
        cpus += victim.cpus
        cards += victim.cards
        ram += victim.ram
    if cpus + TINY >= want.cpus and cards + TINY >= want.cards and ram + TINY >= want.ram:
        return some
    return None
