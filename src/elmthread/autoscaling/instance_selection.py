"""Selection of the instances to request: the fewest that leave no group late, or that cover a shortfall of cores.

Pure functions over offers (algorithm 2 of the Chiron paper, section 5.3).
"""

from collections.abc import Sequence

import msgspec

from elmthread.autoscaling.instance_offers import InstanceOffer
from elmthread.autoscaling.lateness import (
    CoreSupply,
    DeadlineGroup,
    infeasible_groups,
    late_groups,
    merge_supplies,
)

# Maximum number of lateness checks for finding cheaper instances.
MAX_PRICE_TRIALS = 60


class DeferrableBacklog(msgspec.Struct, frozen=True):
    """Waiting deferrable work, and the amount of work that runs before it."""

    groups: Sequence[DeadlineGroup]  # in order of deadline
    core_seconds_ahead: float
    usable_cores: float  # that tasks could use at once beyond the present supplies; no more are requested


def fewest_instances(
    backlog: DeferrableBacklog,
    supplies: Sequence[CoreSupply],
    offers: Sequence[InstanceOffer],
    max_count: int = 50,
) -> list[InstanceOffer]:
    """Return the fewest instances that leave no feasible group late; among those, approximately the cheapest.

    A group is feasible if enough instances, requested now, would still let it meet its deadline. If even
    `max_count` instances leave a feasible group late, return as many of these as waiting tasks could use.
    """
    offers = [offer for offer in offers if offer.cores > 0 and offer.max_count > 0]
    if not offers or not backlog.groups:
        return []
    check = _LatenessCheck(backlog, supplies, min(offer.boot_s for offer in offers))
    if check.meets_deadlines([]):
        return []
    ranked = _largest_first(offers, backlog.usable_cores, max_count)
    if not ranked or not check.meets_deadlines(ranked):
        return ranked
    # More machines never make a group late, so the shortest sufficient prefix is found by binary search.
    low, high = 0, len(ranked)
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if check.meets_deadlines(ranked[:middle]) else (middle, high)
    return _substitute_cheaper(ranked[:high], offers, check)


def cover_shortfall(offers: Sequence[InstanceOffer], cores: float, max_count: int) -> list[InstanceOffer]:
    """Return the fewest instances with at least `cores` cores in total; the last one is the cheapest that suffices."""
    chosen = _largest_first(offers, cores, max_count)
    if not chosen:
        return []
    missing = cores - sum(offer.cores for offer in chosen[:-1])
    sufficient = [
        offer for offer in offers if offer.cores >= missing and offer.price_per_hour <= chosen[-1].price_per_hour
    ]
    last = min(sufficient, key=lambda offer: (offer.price_per_hour, offer.boot_s), default=chosen[-1])
    return [*chosen[:-1], last]


class _LatenessCheck:
    """Checks whether additional instances leave no feasible group late."""

    def __init__(self, backlog: DeferrableBacklog, supplies: Sequence[CoreSupply], boot_s: float) -> None:
        self._backlog = backlog
        self._supplies = merge_supplies(supplies)
        self._infeasible = infeasible_groups(backlog.groups, boot_s)

    def meets_deadlines(self, chosen: Sequence[InstanceOffer]) -> bool:
        """Return whether all feasible groups meet their deadlines with these instances."""
        added = [CoreSupply(offer.boot_s, offer.cores) for offer in chosen]
        return not late_groups(
            self._backlog.groups, [*self._supplies, *added], self._backlog.core_seconds_ahead, self._infeasible
        )


def _largest_first(offers: Sequence[InstanceOffer], cores: float, max_count: int) -> list[InstanceOffer]:
    """Return instances with at least `cores` cores in total, the largest first, so that they are the fewest.

    Among equally large ones, those that boot faster come first, then the cheaper ones. Zones are used in
    rotation, as the capacity left in each is unknown. Expensive kinds come after all others: fewer machines are
    not worth their price.
    """
    lowest_price_per_core = min((offer.price_per_hour / offer.cores for offer in offers), default=0.0)
    ranks: dict[tuple[bool, float, float, float], list[InstanceOffer]] = {}
    for offer in offers:
        rank = (offer.is_expensive(lowest_price_per_core), -offer.cores, offer.boot_s, offer.price_per_hour)
        ranks.setdefault(rank, []).append(offer)
    chosen: list[InstanceOffer] = []
    for rank in sorted(ranks):
        for turn in range(max(offer.max_count for offer in ranks[rank])):
            for offer in ranks[rank]:
                if turn < offer.max_count and len(chosen) < max_count and cores > 0:
                    chosen.append(offer)
                    cores -= offer.cores
    return chosen


def _substitute_cheaper(
    chosen: list[InstanceOffer], offers: Sequence[InstanceOffer], check: _LatenessCheck
) -> list[InstanceOffer]:
    """Replace as many instances with cheaper ones as possible without making a feasible group late."""
    by_price = sorted(offers, key=lambda offer: offer.price_per_hour)
    trials_left = MAX_PRICE_TRIALS
    for current in sorted(set(chosen), key=lambda offer: -offer.price_per_hour):
        for cheaper in by_price:
            if cheaper.price_per_hour >= current.price_per_hour:
                break
            low, high = 0, min(chosen.count(current), cheaper.max_count - chosen.count(cheaper)) + 1
            while high - low > 1 and trials_left > 0:
                trials_left -= 1
                middle = (low + high) // 2
                if check.meets_deadlines(_replaced(chosen, current, cheaper, middle)):
                    low = middle
                else:
                    high = middle
            chosen = _replaced(chosen, current, cheaper, low)
    return chosen


def _replaced(
    chosen: list[InstanceOffer], current: InstanceOffer, cheaper: InstanceOffer, count: int
) -> list[InstanceOffer]:
    """Return `chosen` with the first `count` occurrences of `current` replaced by `cheaper`."""
    result = []
    for offer in chosen:
        if offer == current and count > 0:
            count -= 1
            result.append(cheaper)
        else:
            result.append(offer)
    return result
