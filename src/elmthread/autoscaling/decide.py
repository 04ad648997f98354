"""Two pressures size the fleet: the urgent share, and deferrable groups that would be late.

Pure functions over a view. Chiron's interactive pressure (section 5.1, 5.2) is the share of
urgent cores, held in a band; its batch pressure (section 5.3, algorithm 2) is the number of
groups that would end after their deadline, brought to none by the fewest machines.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

# Machines that cost this many times the cheapest a core are rented only where no others are left.
DEAR = 1.6
# Bounds the judging that cheaper machines take.
MOST_TRIALS = 60

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

    machine_type: str
    zone: str
    spot: bool
    cores: float
    price_per_hour: float  # an hour
    boot_s: float
    max_count: int = 50
    gpus: float = 0.0
    memory_gb: float = math.inf


def merged(supplies: Sequence[Supply]) -> list[Supply]:
    """Those that start together as one, the soonest first: hundreds of machines make a few."""
    cores: dict[float, float] = {}
    for supply in supplies:
        cores[supply.start] = cores.get(supply.start, 0.0) + supply.cores
    return [Supply(start, cores[start]) for start in sorted(cores)]


def dear(offer: Offer, cheapest: float) -> bool:
    """Whether it costs much more a core than the cheapest does."""
    return offer.price_per_hour > DEAR * cheapest * offer.cores


def finish(work: float, supplies: Sequence[Supply]) -> float:
    """When `work` core-seconds are done by cores that come one after the other (`merged`)."""
    at, cores = 0.0, 0.0
    for supply in supplies:
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
    supplies = merged(supplies)
    wait = finish(ahead, supplies)
    for group in groups:
        work_end = finish(ahead + group.work, supplies)
        # A group can't be faster than one task, nor use more cores than its tasks may.
        own = max(group.longest, group.work / group.usable if group.usable > 0 else math.inf)
        result.append(max(work_end, wait + own))
        ahead += group.work
        wait = work_end
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
    offers = [offer for offer in offers if offer.cores > 0 and offer.max_count > 0]
    if not offers or not groups:
        return []
    supplies = merged(supplies)
    skip = unsavable(groups, min(offer.boot_s for offer in offers))
    if not late(groups, supplies, ahead, skip):
        return []

    def saves(chosen: Sequence[Offer]) -> bool:
        more = [Supply(offer.boot_s, offer.cores) for offer in chosen]
        return not late(groups, [*supplies, *more], ahead, skip)

    line = _line(offers, usable, most)
    if not line or not saves(line):
        return line
    # More machines never make a group late, so the shortest part of the line that saves all
    # is found by halving.
    low, high = 0, len(line)
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if saves(line[:middle]) else (middle, high)
    return _cheapen(line[:high], offers, saves)


def _line(offers: Sequence[Offer], room: float, most: int) -> list[Offer]:
    """Machines for up to `room` cores, the largest first: as many others have no more cores.

    Those that boot sooner come first among equals, as do the cheaper; zones take turns, since
    what a zone has left is not known before it is asked. Kinds that cost `DEAR` times the
    cheapest a core come after all others: fewer machines are not worth that much.
    """
    cheapest = min((offer.price_per_hour / offer.cores for offer in offers), default=0.0)
    ranks: dict[tuple[bool, float, float, float], list[Offer]] = {}
    for offer in offers:
        ranks.setdefault((dear(offer, cheapest), -offer.cores, offer.boot_s, offer.price_per_hour), []).append(offer)
    line: list[Offer] = []
    for rank in sorted(ranks):
        for turn in range(max(offer.max_count for offer in ranks[rank])):
            for offer in ranks[rank]:
                if turn < offer.max_count and len(line) < most and room > 0:
                    line.append(offer)
                    room -= offer.cores
    return line


def refill(offers: Sequence[Offer], lacking: float, most: int) -> list[Offer]:
    """The fewest machines with `lacking` cores; the last no larger, or dearer, than it must be."""
    chosen = _line(offers, lacking, most)
    if not chosen:
        return []
    rest = lacking - sum(offer.cores for offer in chosen[:-1])
    enough = [offer for offer in offers if offer.cores >= rest and offer.price_per_hour <= chosen[-1].price_per_hour]
    return [*chosen[:-1], min(enough, key=lambda offer: (offer.price_per_hour, offer.boot_s), default=chosen[-1])]


def _cheapen(chosen: list[Offer], offers: Sequence[Offer], saves: Callable[[Sequence[Offer]], bool]) -> list[Offer]:
    """Swaps machines for cheaper ones, as many at once as leave no group late by it."""
    by_price = sorted(offers, key=lambda offer: offer.price_per_hour)
    trials = MOST_TRIALS
    for dear in sorted(set(chosen), key=lambda offer: -offer.price_per_hour):
        for cheap in by_price:
            if cheap.price_per_hour >= dear.price_per_hour:
                break
            low, high = 0, min(chosen.count(dear), cheap.max_count - chosen.count(cheap)) + 1
            while high - low > 1 and trials > 0:
                trials -= 1
                middle = (low + high) // 2
                if saves(_swapped(chosen, dear, cheap, middle)):
                    low = middle
                else:
                    high = middle
            chosen = _swapped(chosen, dear, cheap, low)
    return chosen


def _swapped(chosen: list[Offer], dear: Offer, cheap: Offer, count: int) -> list[Offer]:
    kept = []
    for offer in chosen:
        if offer == dear and count > 0:
            count -= 1
            kept.append(cheap)
        else:
            kept.append(offer)
    return kept
