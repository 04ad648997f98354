"""Room for services: replicas hold their cores for good, and often may use no spot machine.

Pure functions over a view. The urgent band counts cores of every kind; replicas that may run
on ordinary machines only, spread over zones, need room of just that kind, so it is judged
apart: what waits and fits nowhere is rented for at once, and the share of replicas in the
cores they may use is held in the same band.
"""

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


class Trend:
    """How fast the cores that replicas need grow, since the lowest of late."""

    def __init__(self) -> None:
        self._seen: deque[tuple[timedelta, float]] = deque()

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
    """The machines (name, zone, cores that replicas could have) that stand in reserve, the first
    ones first, until they have the cores needed. No zone counts for more than half of these: what
    comes next is spread over zones, and all room in one would take half of it.
    """
    kept: set[str] = set()
    by_zone: dict[str, float] = {}
    total = 0.0
    for name, zone, cores in machines:
        useful = min(cores, needed / 2 - by_zone.get(zone, 0.0))
        if total < needed and useful > 0:
            by_zone[zone] = by_zone.get(zone, 0.0) + useful
            total += useful
            kept.add(name)
    return kept
