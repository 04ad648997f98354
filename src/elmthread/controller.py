"""One controller: what every node runs, and what the leader runs besides, from win to loss."""

import asyncio
import logging
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import Any

import msgspec

from elmthread.agents.messages import BEAT
from elmthread.agents.reach import Reach
from elmthread.agents.service import Agents
from elmthread.common.clock import Clock, seconds, steady
from elmthread.common.http import Caller, Client, Crowd, Request, Response, Server
from elmthread.common.load import Kind, Load
from elmthread.fleet.client import CloudClient
from elmthread.fleet.messages import Type
from elmthread.fleet.service import QUIET, Fleet
from elmthread.intake.api import Api
from elmthread.intake.messages import Submission
from elmthread.intake.service import Intake
from elmthread.leadership.election import Election, Tenure
from elmthread.ledger import messages as ledger_messages
from elmthread.ledger import records
from elmthread.ledger.client import StateClient, Unavailable, Unsure
from elmthread.ledger.log import SLOTS, Misread, Slots
from elmthread.ledger.pacing import Bucket
from elmthread.ledger.records import LAYOUT
from elmthread.ledger.writer import Rank, Writer
from elmthread.peers.link import Peers
from elmthread.peers.messages import Ask, Lead, Reply
from elmthread.placement.book import Book, HoldState, Job, JobState, Machine, MachineState
from elmthread.placement.decide import Want
from elmthread.placement.service import Placement, may_ever_run
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Platform, split_address
from elmthread.sizing.service import Sizing
from elmthread.sizing.work import WorkModel

log = logging.getLogger(__name__)

LEASE = seconds(2)
# Telling a user `cancelled` is right only if a machine that nobody reaches is empty within
# cancel_s: an old leader's last answers and the worker's lease must both fit into it.
CANCEL_SLACK = seconds(4)
ROUND = seconds(0.1)
GATHER = seconds(0.5)
# Rounds of decisions that overload puts off at most, before one is made all the same.
MOST_PUT_OFF = 20
# A round of decisions that takes this long is told of in the log.
SLOW = seconds(0.3)
PAGE = 400
# Records taken in before other work gets a turn: renewals must not wait for a large load.
BREATH = 100
# Attempts are unique for ever: the token, which grows with each leadership, and a count.
ATTEMPTS = 10_000_000
# Parts of the state service's rates: the rest is for renewals and the other nodes.
LEADERS_PART = 0.85
# Sockets: what is not for those who call is for calls of our own and for the peers; workers
# leave some of the rest to users, who must find one whatever the fleet does.
SERVERS_PART = 0.9
WORKERS_PART = 0.8
OTHERS_PART = 0.1


def users_at_once(platform: Platform) -> int:
    """Requests of users that may wait here: about as many as their sockets, so others get answers."""
    return max(10, int(platform.facts.limits.max_connections * SERVERS_PART * (1 - WORKERS_PART)))


def holding_time(platform: Platform) -> timedelta:
    """How long workers may be answered on a lease that is no longer sure."""
    workers = platform.facts.workers
    return max(seconds(0), min(workers.cancel - workers.lease - CANCEL_SLACK, seconds(60)))


class Leader:
    """All that lives from winning the lease to losing it."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        election: Election,
        state: StateClient,
        cloud: Caller,
        clock: Clock,
        load: Load,
        reach: Reach,
        token: int,
    ) -> None:
        self._reach = reach
        self._load = load
        self._platform = platform
        self._operators = operators
        self.tenure = Tenure(election, token)
        self._state = state
        self._clock = clock
        self.token = token
        facts = platform.facts
        self._teams = {team.name: team for team in facts.teams}
        # What is wanted of each class: the soonest bound, and how much later the last one is.
        self._within: dict[str, list[float]] = {}
        self._times: dict[str, float] = {}
        for aim in facts.objectives:
            if aim.job_class and aim.kind == "finished" and aim.within_s:
                self._within.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.job_class and aim.kind == "deadline" and aim.times:
                self._times[aim.job_class] = max(aim.times, self._times.get(aim.job_class, 1.0))
        self._attempts = token * ATTEMPTS
        self._rentals = 0
        self._chunk = records.chunk_tasks(facts.state.value_kb)
        self._slots = Slots(int(facts.state.value_kb * 1024))
        rate = facts.state.write_rps * LEADERS_PART
        self.book = Book(records.most_holds(facts.state.value_kb))
        self.writer = Writer(
            state,
            token,
            self._slots,
            Bucket(rate, rate, clock),
            facts.state.txn_ops,
            clock,
            lambda: self.tenure.step_down("a transaction found another leader"),
        )
        self.work = WorkModel()
        calls = Bucket(facts.cloud.rps * 0.9, max(1.0, facts.cloud.rps * 1.5), clock)
        unsure_until = clock() + election.unaccounted_for(facts.workers.lease)
        self.fleet = Fleet(
            self.book,
            CloudClient(cloud, calls, self.tenure.leads),
            self.writer,
            clock,
            facts.cloud.list_lag,
            facts.workers.lease,
            unsure_until,
            self.tenure.leads,
            self._next_rental,
            self.changed,
            self._lacking,
        )
        self.intake = Intake(
            self.book,
            self.tenure,
            self.writer,
            clock,
            self._new_job,
            self._can_run,
            lambda: bool(self.fleet.types),
            self.accepted,
            users_at_once(platform),
        )
        self.agents = Agents(
            self.book,
            self.tenure,
            self.writer,
            self.work,
            clock,
            facts.workers.lease,
            self.fleet.describe,
            self.intake.finished,
            self.changed,
            lambda: self.placement.waiting,
        )
        self.placement = Placement(
            self.book,
            self._teams,
            clock,
            self._next_attempt,
            self.agents.assign,
            self._expected,
            self.agents.health.forgive,
        )
        self.sizing = Sizing(self.book, self.fleet, self.placement, self._expected, operators, clock)
        self.loaded = False
        self._change = asyncio.Event()
        self._shortfall = asyncio.Event()

    def changed(self) -> None:
        self._change.set()

    def accepted(self) -> None:
        """A job came: late groups are rented for at once, not at the next check."""
        self.placement.stale()
        self._change.set()
        self._shortfall.set()

    def _lacking(self) -> None:
        self._shortfall.set()

    def _next_attempt(self) -> int:
        self._attempts += 1
        return self._attempts

    def _next_rental(self) -> str:
        self._rentals += 1
        return f"r-{self.token}-{self._rentals}"

    def _expected(self, job: Job) -> timedelta:
        return self.work.run_time(job.spec.job_class, job.spec.expected_s)

    # Jobs

    def _new_job(self, spec: Submission, since: timedelta, submitted: datetime | None = None) -> Job:
        within = self._within.get(spec.job_class, [0.0])
        if spec.due_s:
            slack = self._times.get(spec.job_class, 1.0)
        else:
            slack = max(within) / min(within) if min(within) > 0 else 1.0
        fields: dict[str, Any] = {
            "job_class": spec.job_class,
            "team": spec.team,
            "form": spec.form,
            "priority": spec.priority,
            "tasks": spec.tasks,
            "cpus": spec.cpus,
            "cards": spec.cards,
            "ram_gb": spec.ram_gb,
            "expected_s": spec.expected_s,
            "due_s": spec.due_s or 0.0,
            "objective_s": min(within),
            "saves": spec.saves,
            "spot": spec.spot,
        }
        return Job(
            spec,
            submitted or datetime.now(UTC),
            since,
            self._operators.deadline(fields),
            slack,
            self._operators.urgent(fields),
            self._chunk,
        )

    def _can_run(self, spec: Submission) -> str | None:
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        want = Want(
            job=spec.id,
            team=spec.team,
            order=(),
            count=1,
            cpus=spec.cpus,
            cards=spec.cards,
            ram=spec.ram_gb,
            types=None if spec.types is None else frozenset(spec.types),
            zone=spec.zone,
        )
        types = [(t.name, t.cpus, t.cards, t.memory_gb, t.zones) for t in self.fleet.types.values()]
        return may_ever_run(want, team, types)

    # Loading

    async def load(self) -> None:
        """Rebuilds the view: jobs, done tasks, assignments, rentals in doubt, machine types."""
        view = self._slots.load((item.key, item.value, item.stamp) for item in await self._all(SLOTS))
        if LAYOUT not in view:
            await self._adopt_earlier_layout(view)
        count = 0
        for prefix, read in (
            ("j/", self._load_job),
            ("d/", self._load_marks),
            ("m/", self._load_machine),
            ("r/", self._load_rental),
            ("t/", self._load_types),
        ):
            for key, value in view.items():
                if key.startswith(prefix):
                    try:
                        read(key, value)
                    except (msgspec.MsgspecError, ValueError) as error:
                        raise Misread(f"{key}: {error}") from error
                    count += 1
                    if count % BREATH == 0:
                        await asyncio.sleep(0)
        for job in list(self.book.open_jobs.values()):
            job.refill()
            if job.count_done == job.total:
                self.intake.finished(job, 0, lambda: None)
        self.loaded = True
        log.info(
            "loaded %s jobs, %s of them open, and %s machines",
            len(self.book.jobs),
            len(self.book.open_jobs),
            len(self.book.machines),
        )

    async def _adopt_earlier_layout(self, view: dict[str, Any]) -> None:
        """Takes over records that stand under keys of their own, as an earlier version wrote them."""
        found = [
            item for prefix in ("j/", "d/", "m/", "t/") for item in await self._all(prefix) if item.key not in view
        ]
        left = len(found)

        def taken_over() -> None:
            nonlocal left
            left -= 1
            if left <= 0:
                self.writer.write(LAYOUT, Rank.TIDY, lambda: 2)

        for item in found:
            view[item.key] = item.value
            self.writer.write(item.key, Rank.TIDY, partial(_same, item.value), taken_over)
        if not found:
            taken_over()

    async def _all(self, prefix: str) -> list[ledger_messages.Item]:
        items: list[ledger_messages.Item] = []
        after = None
        while True:
            try:
                page = await self._state.page(prefix, after, PAGE)
            except (Unavailable, Unsure) as error:
                log.info("loading %s: %s", prefix, error)
                await asyncio.sleep(0.2)
                continue
            items += page.items
            if not page.more or not page.items:
                return items
            after = page.items[-1].key

    def _load_job(self, key: str, value: Any) -> None:
        record = msgspec.convert(value, records.JobRecord)
        state = JobState(record.state)
        if record.spec is None:
            spec = _finished_spec(key.removeprefix("j/"), record.tasks)
            job = Job(spec, datetime.now(UTC), self._clock(), seconds(0), 1.0, False, self._chunk)
        else:
            submitted = records.submitted_at(record)
            age = max(timedelta(), datetime.now(UTC) - submitted)
            job = self._new_job(record.spec, self._clock() - age, submitted)
            job.chunk = record.chunk
        job.state = job.stored = job.writing = state
        if not job.open:
            job.pending.clear()
        if state is JobState.DONE:
            job.count_done = job.total
        self.book.add_job(job)

    def _load_marks(self, key: str, value: Any) -> None:
        _, job_id, chunk = key.split("/")
        job = self.book.jobs.get(job_id)
        if job is not None and job.open:
            records.mark_done(job, int(chunk), msgspec.convert(value, records.DoneRecord))
        else:
            self.writer.delete(key)

    def _load_rental(self, key: str, value: Any) -> None:
        # Whether it was carried out shows in the machine list; the name is never used again.
        self.writer.delete(key)

    def _load_types(self, key: str, value: Any) -> None:
        self.fleet.set_types(msgspec.convert(value, list[Type]))

    def _load_machine(self, key: str, value: Any) -> None:
        record = msgspec.convert(value, records.MachineRecord)
        name = key.removeprefix("m/")
        machine = Machine(name, record.build, record.zone, record.spot, MachineState.UNSURE, self._clock())
        machine.pool = record.pool
        self.book.add_machine(machine)
        for job_id, numbers in record.holds.items():
            job = self.book.jobs.get(job_id)
            if job is None:
                continue
            for task, attempt in zip(numbers[::2], numbers[1::2], strict=True):
                if not job.is_done(task) and job.state is not JobState.DONE:
                    self.book.hold(machine, job, task, attempt, HoldState.UNSEEN)

    # Running

    async def run(self) -> None:
        await self.load()
        self.changed()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.writer.run())
            group.create_task(self.fleet.run())
            group.create_task(self._place())
            group.create_task(self._size())
            group.create_task(self._watch_reach())

    async def _place(self) -> None:
        """A round after each change, though not too often: rounds gather what came meanwhile."""
        while True:
            try:
                async with asyncio.timeout(1):
                    await self._change.wait()
            except TimeoutError:
                pass
            self._change.clear()
            await self._time_to_decide()
            began = self._clock()
            if self.tenure.leads():
                self.placement.round()
            await asyncio.sleep(self._pause(ROUND, began))

    async def _watch_reach(self) -> None:
        while True:
            await asyncio.sleep(GATHER.total_seconds())
            if self.tenure.leads() and self.agents.out_of_reach(self._reach):
                log.info("most machines don't reach this node, and reach another")
                self.tenure.rest()
                self.tenure.step_down("the workers are out of reach")

    async def _time_to_decide(self) -> None:
        """Decisions wait while there is not even time for answers, though not for ever."""
        for _ in range(MOST_PUT_OFF):
            if not self._load.refuses(Kind.DECIDING):
                return
            await asyncio.sleep(ROUND.total_seconds())

    def _pause(self, least: timedelta, began: timedelta) -> float:
        """However much there is to decide, most of the processor is left to everything else."""
        took = self._clock() - began
        if took > SLOW:
            log.info("a round of decisions took %.2f s", took.total_seconds())
        return max(least, took * 3).total_seconds()

    async def _size(self) -> None:
        while True:
            self._shortfall.clear()
            await self._time_to_decide()
            began = self._clock()
            if self.tenure.leads():
                self.sizing.round()
            await asyncio.sleep(self._pause(GATHER, began))
            try:
                async with asyncio.timeout(self._operators.check.total_seconds()):
                    # What comes together is judged together.
                    await self._shortfall.wait()
            except TimeoutError:
                pass

    def stop(self) -> None:
        self.writer.stop()
        self.fleet.stop()


def _finished_spec(job_id: str, tasks: int) -> Submission:
    """Of a job that is over only its end is kept; this fills the form."""
    return Submission(
        id=job_id,
        job_class="-",
        team="-",
        form="batch",
        priority="normal",
        tasks=tasks,
        cpus=1.0,
        cards=0.0,
        ram_gb=0.0,
        image="-",
        image_gb=0.0,
        one_zone=False,
        spread=False,
        spot=True,
        expected_s=0.0,
        checkpoint_s=0.0,
        save_s=0.0,
    )


def _same(value: Any) -> Any:
    return value


class Controller:
    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        clock: Clock = steady,
        state: Caller | None = None,
        cloud: Caller | None = None,
        peers: type[Peers] = Peers,
    ) -> None:
        self._platform = platform
        self._operators = operators
        self._clock = clock
        facts = platform.facts
        # A follower needs little of the state service's rate; a leader takes its own part.
        self._requests = Bucket(facts.state.rps * OTHERS_PART, facts.state.rps * OTHERS_PART, clock)
        self._state = StateClient(state or Client(platform.endpoints.state), self._requests)
        self._cloud = cloud or Client(platform.endpoints.cloud)
        self.election = Election(
            platform.node, self._state, clock, LEASE, holding_time(platform), self._won, self._lost
        )
        links = {other.node: split_address(other.address) for other in platform.others}
        self.peers = peers(
            links,
            self._answer,
            self.hear,
            self._say,
            users_at_once(platform),
        )
        self.load = Load(clock)
        self.reach = Reach(clock, facts.workers.lease * QUIET)
        self.api = Api(platform.node, self.election, self.peers, clock, self._intake, self._beat, self.load)
        most = max(10, int(facts.limits.max_connections * SERVERS_PART))
        workers = Crowd(BEAT, max(5, int(most * WORKERS_PART)), facts.workers.lease)
        self.server = Server(self.api.handle, most, clock, workers)
        self.leader: Leader | None = None
        self._leading: asyncio.Task[None] | None = None

    def _won(self, token: int) -> None:
        rps = self._platform.facts.state.rps
        self._requests.rate, self._requests.burst = rps * LEADERS_PART, rps * LEADERS_PART
        self.leader = Leader(
            self._platform,
            self._operators,
            self.election,
            self._state,
            self._cloud,
            self._clock,
            self.load,
            self.reach,
            token,
        )
        self._leading = asyncio.get_running_loop().create_task(self._lead(self.leader))
        self.peers.tell()

    async def _lead(self, leader: Leader) -> None:
        try:
            await leader.run()
        except asyncio.CancelledError:
            raise
        except Exception:
            # A fault in one leader's work: another, with a view built anew, may fare better.
            log.exception("the leader's work has failed")
            self.election.rest()
            leader.tenure.step_down("a fault")

    def _lost(self) -> None:
        rps = self._platform.facts.state.rps
        self._requests.rate, self._requests.burst = rps * OTHERS_PART, rps * OTHERS_PART
        if self.leader is not None:
            self.leader.stop()
        if self._leading is not None:
            self._leading.cancel()
        self.leader = self._leading = None
        self.peers.tell()

    def _intake(self) -> Intake | None:
        if self.leader is not None and self.leader.loaded and self.election.leads():
            return self.leader.intake
        return None

    async def _beat(self, request: Request) -> Response:
        leader = self.leader
        if leader is None or not leader.loaded:
            known = self.election.leader
            other = None if known == self._platform.node else known
            return self.reach.turn_away(request, other, self.election.seen_token)
        return await leader.agents.beat(request)

    def hear(self, lead: Lead) -> None:
        """What another node says about who leads and who comes to it."""
        self.election.hear(lead.token, lead.leader)
        if lead.node:
            self.reach.hear(lead.node, lead.strays, lead.some, lead.token, lead.machines)

    async def _answer(self, ask: Ask) -> Reply:
        return await self.api.answer(ask)

    def _say(self) -> Lead:
        token = self.election.seen_token
        machines = len(self.leader.book.machines) if self.leader is not None else 0
        return Lead(self.election.leader, token, self._platform.node, *self.reach.strays(token), machines)

    async def run(self) -> None:
        platform = self._platform
        host, port = split_address(platform.listen)
        await self.server.start(host, port)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.load.run())
            group.create_task(self.server.sweep())
            group.create_task(self.peers.run(*split_address(platform.peer_listen)))
            group.create_task(self.election.run())
