"""Room for services: replicas hold their cores for good, and often may use no spot machine.

Pure functions over a view. The urgent band counts cores of every kind; replicas that may run
on ordinary machines only, spread over zones, need room of just that kind, so it is judged
apart: what waits and fits nowhere is rented for at once, and the share of replicas in the
cores they may use is held in the same band.
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import replace
from datetime import timedelta

from elmthread.common.clock import seconds
from elmthread.placement.decide import TINY, Room, Slot, Want, allowed, place
from elmthread.sizing.decide import Offer

# How far back the growth of the demand of services is looked for, and the shortest rise judged.
TREND = seconds(60)
SHORTEST = seconds(20)


# What the mean-to-peak ratio is taken over, and the most that it says.
MEMORY = seconds(300)
MOST_RATIO = 0.9


class Trend:
    """What the demand of services has been: its mean to its peak, and how fast it grows."""

    def __init__(self) -> None:
        self._seen: deque[tuple[timedelta, float]] = deque()
        self._all: deque[tuple[timedelta, float]] = deque()

    @property
    def known(self) -> bool:
        """Services were here of late."""
        return bool(self._all)

    def ratio(self, now: timedelta, cores: float, least: float) -> float:
        """Theta of the services' own band: their recent mean-to-peak ratio, since the first of them."""
        if cores > 0 or self._all:
            self._all.append((now, cores))
        while self._all and self._all[0][0] < now - MEMORY:
            self._all.popleft()
        peak = max((cores for _, cores in self._all), default=0.0)
        if peak <= 0:
            self._all.clear()
            return least
        mean = sum(cores for _, cores in self._all) / len(self._all)
        return min(max(mean / peak, least), MOST_RATIO)

    def growth(self, now: timedelta, cores: float) -> float:
        """Notes what is needed now; returns the cores by which it grows each second."""
        self._seen.append((now, cores))
        while self._seen[0][0] < now - TREND:
            self._seen.popleft()
        low = min(cores for _, cores in self._seen)
        since = max(at for at, cores in self._seen if cores == low)
        return (cores - low) / max(now - since, SHORTEST).total_seconds()


def unplaced(wants: Iterable[Want], slots: Sequence[Slot], rooms: dict[str, Room]) -> list[Want]:
    """What is left of the tasks once `slots` (used up) are full, as far as limits let it run."""
    left = [replace(want, zones=dict(want.zones), machines=dict(want.machines)) for want in wants]
    place(left, slots, rooms)
    return [want for want in left if want.count > 0 and rooms[want.team].cpus + TINY >= want.cpus]


def machines_for(wants: Iterable[Want], offers: Sequence[Offer], rooms: dict[str, Room], most: int) -> list[Offer]:
    """Machines on which the tasks fit, zones and memory included; each is filled before the next.

    The zone with the fewest of a job's replicas comes first, there the cheapest core, and of
    equally cheap ones the largest machine, for the fewest.
    """
    chosen: list[Offer] = []
    slots: list[Slot] = []
    for want in wants:
        place([want], slots, rooms)
        while want.count > 0 and len(chosen) < most:
            fit = [offer for offer in offers if _takes(want, offer)]
            if not fit:
                break
            best = min(
                fit,
                key=lambda offer: (want.zones.get(offer.zone, 0), round(offer.price / offer.cores, 3), -offer.cores),
            )
            slot = Slot(f"+{len(slots)}", best.build, best.zone, best.spot, best.cores, best.cards, best.ram)
            before = want.count
            place([want], [slot], rooms)
            if want.count == before:
                break
            chosen.append(best)
            slots.append(slot)
    return chosen


def _takes(want: Want, offer: Offer) -> bool:
    return (
        allowed(want, offer.build, offer.zone, offer.spot)
        and want.zones.get(offer.zone, 0) < want.zone_most
        and want.cpus <= offer.cores
        and want.cards <= offer.cards
        and want.ram <= offer.ram
    )


def reserve(machines: Iterable[tuple[str, str, float]], needed: float) -> set[str]:
    """The machines (name, zone, cores) that stand in reserve, the first ones first, until they
    have the cores needed; no zone gives more than half, as replicas are spread.
    """
    kept: set[str] = set()
    by_zone: dict[str, float] = {}
    total = 0.0
    for name, zone, cores in machines:
        if total >= needed:
            break
        if by_zone.get(zone, 0.0) < math.ceil(needed / 2):
            by_zone[zone] = by_zone.get(zone, 0.0) + cores
            total += cores
            kept.add(name)
    return kept
