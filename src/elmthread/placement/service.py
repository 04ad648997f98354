"""Applies the placement decisions to the book: holds for what starts, stops for what gives way."""

import logging
import math
from collections.abc import Callable
from datetime import timedelta

from elmthread.common.clock import ZERO, Clock, seconds
from elmthread.placement.book import Book, Hold, HoldState, Job, JobState, Machine, Stop
from elmthread.placement.decide import Room, Slot, Victim, Want, place, preempt
from elmthread.settings.platform import Team
from elmthread.sizing.decide import Line, forsaken

log = logging.getLogger(__name__)

# Bounds the work of one round: tasks placed, and jobs looked at for preemption.
MOST_PLACED = 400
MOST_PREEMPTING = 8


class Placement:
    def __init__(
        self,
        book: Book,
        teams: dict[str, Team],
        clock: Clock,
        next_attempt: Callable[[], int],
        assign: Callable[[Machine], None],
        expected: Callable[[Job], timedelta],
    ) -> None:
        self._book = book
        self._teams = teams
        self._clock = clock
        self._next_attempt = next_attempt
        self._assign = assign
        self._expected = expected

    def round(self) -> None:
        now = self._clock()
        self._stop_for_recall(now)
        wants = self.wants(now)
        if not wants:
            return
        rooms = self.rooms()
        slots = {machine.name: _slot(machine, self._book) for machine in self._book.up() if machine.open}
        touched: dict[str, Machine] = {}
        left = MOST_PLACED
        for want, slot, count in place(wants, list(slots.values()), rooms):
            machine = self._book.machines[slot.name]
            job = self._book.jobs[want.job]
            for _ in range(min(count, left)):
                task = job.pending.popleft()
                self._book.hold(machine, job, task, self._next_attempt(), HoldState.PLANNED)
                touched[machine.name] = machine
            left -= count
            if left <= 0:
                break
        for machine in touched.values():
            self._assign(machine)
        if left > 0:
            self._make_room([want for want in wants if want.urgent and want.count > 0], slots, rooms, now)

    def rooms(self) -> dict[str, Room]:
        return {
            name: Room(
                team.cpu_limit - self._book.cpus_of.get(name, 0.0),
                team.card_limit - self._book.cards_of.get(name, 0.0),
            )
            for name, team in self._teams.items()
        }

    def wants(self, now: timedelta) -> list[Want]:
        """What waits, in the order in which it gets room."""
        guaranteed = self._guaranteed()
        last = self._last(now)
        wants = [
            self._want(job, job.id in guaranteed, job.id in last, now)
            for job in self._book.open_jobs.values()
            if job.pending and job.stored is JobState.OPEN and job.retry_at <= now
        ]
        wants.sort(key=lambda want: want.order)
        return wants

    def _guaranteed(self) -> set[str]:
        """Jobs that fit their team's guarantee together with the team's earlier unfinished ones."""
        used: dict[str, float] = {}
        inside: set[str] = set()
        for job in sorted(self._book.open_jobs.values(), key=lambda job: job.since):
            team = self._teams.get(job.spec.team)
            if team is None or not team.cpus:
                continue
            total = used.get(team.name, 0.0) + job.spec.cpus * (job.total - job.count_done)
            used[team.name] = total
            if total <= team.cpus:
                inside.add(job.id)
        return inside

    def _last(self, now: timedelta) -> set[str]:
        """Deferrable jobs that wait behind the others, so that the most end in time.

        Where the work does not fit, which jobs are late is a matter of order alone. A team's
        limit is all it will ever get; the cores that there are or that are coming are all
        that can be had for now. Urgent work goes first.
        """
        lines: dict[str, list[Line]] = {}
        urgent: dict[str, float] = {}
        for job in self._book.open_jobs.values():
            team = self._teams.get(job.spec.team)
            if team is None:
                continue
            each = self._expected(job).total_seconds()
            # Of what runs, about half is still to do.
            work = (len(job.pending) + len(job.live) / 2) * job.spec.cpus * each
            if job.urgent:
                urgent[team.name] = urgent.get(team.name, 0.0) + work
                continue
            due = (job.since + job.deadline - now).total_seconds()
            own = max(each, work / team.cpu_limit) if job.pending else 0.0
            lines.setdefault(team.name, []).append(Line(job.id, due, work, own))
        last: set[str] = set()
        for name, line in lines.items():
            last |= forsaken(line, self._teams[name].cpu_limit, urgent.get(name, 0.0))
        cores = sum(machine.cpus for machine in self._book.machines.values() if machine.serves)
        if cores:
            rest = [one for line in lines.values() for one in line if one.job not in last]
            last |= forsaken(rest, cores, sum(urgent.values()))
        return last

    def _want(self, job: Job, guaranteed: bool, last: bool, now: timedelta) -> Want:
        spec = job.spec
        due = (job.since + job.deadline - now).total_seconds()
        # Urgent work by rank and deadline; then work within a guarantee; then by deadline,
        # jobs that would only make others late behind them.
        order = (0.0, job.rank, due) if job.urgent else (1.0, 0.0 if guaranteed else 2.0 if last else 1.0, due)
        return Want(
            job=job.id,
            team=spec.team,
            order=order,
            count=len(job.pending),
            cpus=spec.cpus,
            cards=spec.cards,
            ram=spec.ram_gb,
            image=spec.image,
            image_gb=spec.image_gb,
            types=None if spec.types is None else frozenset(spec.types),
            zone=spec.zone,
            spot=spec.spot,
            one_zone=spec.one_zone,
            zones=dict(job.zones),
            zone_most=math.ceil(job.total / 2) if spec.spread else math.inf,
            urgent=job.urgent,
        )

    def _make_room(self, wants: list[Want], slots: dict[str, Slot], rooms: dict[str, Room], now: timedelta) -> None:
        """Urgent work that lacks room requeues deferrable work."""
        if not wants:
            return
        victims: list[Victim] = []
        for machine in self._book.up():
            slot = slots.get(machine.name)
            if slot is None:
                continue
            for hold in machine.holds.values():
                spec = hold.job.spec
                if hold.stop is not None:
                    # Already on its way out: its room is not asked for twice.
                    slot.cpus += spec.cpus
                    slot.cards += spec.cards
                    slot.ram += spec.ram_gb
                    rooms[spec.team].cpus += spec.cpus
                    rooms[spec.team].cards += spec.cards
                elif not hold.job.urgent and hold.state is not HoldState.SAVING:
                    victims.append(
                        Victim(
                            hold.attempt,
                            machine.name,
                            spec.team,
                            spec.cpus,
                            spec.cards,
                            spec.ram_gb,
                            self._loss(hold, now),
                        )
                    )
        place(wants, list(slots.values()), rooms)
        for want in wants[:MOST_PREEMPTING]:
            if want.count <= 0 or not victims:
                continue
            chosen = preempt(want, slots, victims, rooms[want.team])
            for victim in chosen:
                victims.remove(victim)
                hold = self._book.machines[victim.machine].holds[victim.attempt]
                log.info("%s/%s gives way to %s", hold.job.id, hold.task, want.job)
                hold.stop = Stop.SAVE

    def _loss(self, hold: Hold, now: timedelta) -> timedelta:
        if hold.started_at is None:
            return ZERO
        if hold.job.spec.saves:
            return seconds(hold.job.spec.save_s)
        return now - hold.started_at

    def _stop_for_recall(self, now: timedelta) -> None:
        """On a machine that will be taken: what can't end in time is stopped, saved if it can be."""
        for machine in self._book.up():
            if machine.recall_at is None:
                continue
            left = machine.recall_at - now
            for hold in machine.holds.values():
                if hold.stop is None and not self._ends_within(hold, left, now):
                    hold.stop = Stop.SAVE

    def _ends_within(self, hold: Hold, left: timedelta, now: timedelta) -> bool:
        if hold.started_at is None:
            return False
        return self._expected(hold.job) - (now - hold.started_at) < left


def _slot(machine: Machine, book: Book) -> Slot:
    return Slot(
        name=machine.name,
        build=machine.build,
        zone=machine.zone,
        spot=machine.spot,
        cpus=machine.free,
        cards=machine.cards - machine.cards_used,
        ram=machine.ram - machine.ram_used,
        price=machine.core_price,
        fetch_rate=machine.fetch_rate,
        images=machine.images,
        most=book.most_holds - len(machine.holds),
        fading=machine.fading,
    )


def may_ever_run(job: Want, limit: Team, types: list[tuple[str, float, float, float, list[str]]]) -> str | None:
    """Why the job can never run, or None. `types`: name, cpus, cards, memory, zones."""
    if job.cpus > limit.cpu_limit or job.cards > limit.card_limit:
        return "one task needs more than the team's limit"
    for name, cpus, cards, ram, zones in types:
        if job.types is not None and name not in job.types:
            continue
        if job.zone is not None and job.zone not in zones:
            continue
        if job.cpus <= cpus and job.cards <= cards and job.ram <= ram:
            return None
    return "a task fits no allowed machine type"
