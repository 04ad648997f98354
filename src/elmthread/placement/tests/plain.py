"""Placement the slow and plain way: every machine is looked at for every job and every task."""

import math

from elmthread.placement.decide import (
    FETCH_COST,
    TINY,
    Room,
    Slot,
    Victim,
    Want,
    allowed,
    dearness,
    enough,
    fits,
    keep_for,
    take,
    way_to_image,
)


def preference(want: Want, slot: Slot, cheapest: float) -> tuple[bool, float, float, str]:
    """Small is better: machines that are to empty come last; then the time to fetch the
    image and the price; full machines first.
    """
    fetch = FETCH_COST[way_to_image(want, slot)] * want.image_gb / slot.fetch_rate
    return (slot.fading, fetch + dearness(want, slot.price, cheapest), slot.cpus, slot.name)


def place(wants: list[Want], slots: list[Slot], rooms: dict[str, Room]) -> list[tuple[Want, Slot, int]]:
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
                keep_for(room)
            continue
        # Replicas stand apart as long as there is room for that, and wherever there is any after that.
        for apart in (True, False):
            choice = [slot for slot in open_slots if fits(want, slot, room, apart)]
            choice.sort(key=lambda slot: preference(want, slot, cheapest))
            for slot in choice:
                count = fits(want, slot, room, apart)
                if count <= 0:
                    continue
                take(want, slot, room, count)
                placed.append((want, slot, count))
        if want.urgent and want.count > 0 and room.cpus + TINY < want.cpus:
            keep_for(room)
        open_slots = [slot for slot in open_slots if slot.cpus > TINY]
    return placed


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
            if slot is None or name in want.avoid or not allowed(want, slot.build, slot.zone, slot.spot):
                continue
            if want.zone_most < math.inf and want.zones.get(slot.zone, 0) >= want.zone_most:
                continue
            some = enough(want, slot, held)
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
