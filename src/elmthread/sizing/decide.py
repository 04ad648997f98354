"""Two pressures size the fleet: the urgent share, and deferrable groups that would be late.

Pure functions over a view. Chiron's interactive pressure (section 5.1, 5.2) is the share of
urgent cores, held in a band; its batch pressure (section 5.3, algorithm 2) is the number of
groups that would end after their deadline, brought to none by the fewest machines.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from itertools import cycle

# All times here are seconds from now: the view is made, judged and thrown away in one step.


class Band(Enum):
    RENT = auto()
    STAY = auto()
    RETURN = auto()


def band(urgent_cores: float, cores: float, theta: float, delta: float) -> Band:
    """Holds the urgent share of the cores outside the deferrable pool in theta plus or minus delta."""
    if cores <= 0:
        return Band.RENT if urgent_cores > 0 else Band.STAY
    share = urgent_cores / cores
    if share > theta + delta:
        return Band.RENT
    if share < theta - delta:
        return Band.RETURN
    return Band.STAY


@dataclass(slots=True, frozen=True)
class Supply:
    """Cores that serve deferrable work from a time on."""

    start: float
    cores: float


@dataclass(slots=True)
class Group:
    """Waiting deferrable tasks with about the same deadline."""

    due: float
    work: float  # core-seconds
    longest: float  # one task, image included
    usable: float  # cores that its tasks, within their teams' limits, can use at once


@dataclass(slots=True, frozen=True)
class Offer:
    """A kind of machine that can be rented, as far as is known."""

    build: str
    zone: str
    spot: bool
    cores: float
    price: float  # an hour
    boot: float
    most: int = 50


def finish(work: float, supplies: Sequence[Supply]) -> float:
    """When `work` core-seconds are done by cores that come one after the other."""
    at, cores = 0.0, 0.0
    for supply in sorted(supplies, key=lambda supply: supply.start):
        if supply.start > at:
            if cores > 0 and work <= cores * (supply.start - at):
                return at + work / cores
            work -= cores * (supply.start - at)
            at = supply.start
        cores += supply.cores
    if work <= 0:
        return at
    return at + work / cores if cores > 0 else math.inf


def ends(groups: Sequence[Group], supplies: Sequence[Supply], ahead: float) -> list[float]:
    """When each group (by deadline) ends: the wait for what is ahead of it, then its own work."""
    result = []
    for group in groups:
        wait = finish(ahead, supplies)
        work_end = finish(ahead + group.work, supplies)
        # A group can't be faster than one task, nor use more cores than its tasks may.
        own = max(group.longest, group.work / group.usable if group.usable > 0 else math.inf)
        result.append(max(work_end, wait + own))
        ahead += group.work
    return result


def late(groups: Sequence[Group], supplies: Sequence[Supply], ahead: float, skip: frozenset[int]) -> list[int]:
    return [
        index
        for index, end in enumerate(ends(groups, supplies, ahead))
        if end > groups[index].due and index not in skip
    ]


def unsavable(groups: Sequence[Group], boot: float) -> frozenset[int]:
    """Groups that would be late even if unlimited machines were rented now."""
    return frozenset(
        index
        for index, group in enumerate(groups)
        if boot + max(group.longest, group.work / group.usable if group.usable > 0 else math.inf) > group.due
    )


def fewest(
    groups: Sequence[Group],
    supplies: Sequence[Supply],
    ahead: float,
    offers: Sequence[Offer],
    usable: float,
    most: int = 50,
) -> list[Offer]:
    """The fewest machines that leave no savable group late; among those, about the cheapest.

    `usable` bounds the cores rented: more than waiting tasks could use is never rented.
    Where even all that leaves a group late, as many are rented as are of use.
    """
    offers = [offer for offer in offers if offer.cores > 0 and offer.most > 0]
    if not offers or not groups:
        return []
    skip = unsavable(groups, min(offer.boot for offer in offers))
    if not late(groups, supplies, ahead, skip):
        return []

    def saves(chosen: Sequence[Offer]) -> bool:
        more = [Supply(offer.boot, offer.cores) for offer in chosen]
        return not late(groups, [*supplies, *more], ahead, skip)

    chosen: list[Offer] = []
    # The largest machines first: no other choice of as many machines has more cores. Those
    # that boot sooner come first among equals, as do the cheaper; zones take turns, since
    # what a zone has left is not known before it is asked.
    ranks: dict[tuple[float, float, float], list[Offer]] = {}
    for offer in offers:
        ranks.setdefault((-offer.cores, offer.boot, offer.price), []).append(offer)
    room = usable
    for rank in sorted(ranks):
        left = {id(offer): offer.most for offer in ranks[rank]}
        for offer in cycle(ranks[rank]):
            if not any(left.values()) or len(chosen) >= most or room <= 0 or saves(chosen):
                break
            if left[id(offer)]:
                left[id(offer)] -= 1
                chosen.append(offer)
                room -= offer.cores
    return _cheapen(chosen, offers, saves)


def _cheapen(chosen: list[Offer], offers: Sequence[Offer], saves: Callable[[Sequence[Offer]], bool]) -> list[Offer]:
    """Swaps each machine for a cheaper one as long as no group turns late by it."""
    if not saves(chosen):
        return chosen
    for index in range(len(chosen)):
        for offer in sorted(offers, key=lambda offer: offer.price):
            if offer.price >= chosen[index].price:
                break
            used = sum(1 for other in chosen if other is offer)
            if used >= offer.most:
                continue
            trial = [*chosen[:index], offer, *chosen[index + 1 :]]
            if saves(trial):
                chosen = trial
                break
    return chosen


@dataclass(slots=True, frozen=True)
class Line:
    """A job in its team's line: core-seconds left, the soonest it can end, and its deadline."""

    job: str
    due: float
    work: float
    own: float


def forsaken(lines: Sequence[Line], cores: float, ahead: float = 0.0) -> set[str]:
    """The jobs to put last so that the most others end in time, on `cores` shared by all.

    `ahead` core-seconds of other work come first.
    By deadline; whenever one would end late, the one with the most work so far is put last
    (Moore and Hodgson's rule, which leaves the fewest jobs late on one server).
    """
    last: set[str] = set()
    taken: list[Line] = []
    total = ahead
    for line in sorted(lines, key=lambda line: line.due):
        if line.own > line.due:
            last.add(line.job)
            continue
        taken.append(line)
        total += line.work
        if total / cores > line.due:
            worst = max(taken, key=lambda line: line.work)
            taken.remove(worst)
            total -= worst.work
            last.add(worst.job)
    return last
