"""One controller: what every node runs, and what the leader runs besides, from win to loss."""

import asyncio
import logging
from datetime import timedelta

import msgspec

from elmthread.agents.messages import HEARTBEAT_PATH
from elmthread.agents.service import Agents
from elmthread.common.clock import Clock, at_least, at_most, seconds, steady
from elmthread.common.http import Caller, Client, ConnectionLimit, Request, Response, Server
from elmthread.common.load import Kind, Load
from elmthread.fleet.client import CloudClient
from elmthread.fleet.service import QUIET, Fleet
from elmthread.intake.api import NO_LATER_TERM, WHICH_PROCESS, Api
from elmthread.intake.jobs import Jobs
from elmthread.intake.service import Intake
from elmthread.leadership.election import Election, Role, Term
from elmthread.ledger.assignments import machine_frame
from elmthread.ledger.client import StateClient
from elmthread.ledger.loading import Loader
from elmthread.ledger.log import Slots, slot_bytes
from elmthread.ledger.pacing import TokenBucket
from elmthread.ledger.writer import Writer
from elmthread.peers.link import Peers, PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement
from elmthread.placement.cluster import ClusterState, Job
from elmthread.placement.service import Placement
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.census import Census
from elmthread.reachability.service import Reachability, TermReachability
from elmthread.rollout.features import SUPPORTED, ActiveFeatures, Feature, SupportedLevels
from elmthread.rollout.gate import CompatibilityGate, IncompatibleLevelError, Membership
from elmthread.rollout.term import RolloutContext, TermRollout
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Platform, split_address
from elmthread.sizing.service import Sizing
from elmthread.sizing.work import WorkModel

log = logging.getLogger(__name__)

LEASE = seconds(2)
# The state service lets a transaction compare this many keys for each change that it allows.
GUARDS_FOR_EACH_CHANGE = 4
# Telling a user `cancelled` is right only if a machine that nobody reaches is empty within
# cancel_s: an old leader's last answers and the worker's lease must both fit into it.
CANCEL_SLACK = seconds(4)
# Longer than this no leader holds on, whatever the limits allow: a new one has to wait it out.
MOST_HELD = seconds(60)
# Another node says within this time whether it may have won.
PEER_ANSWER_TIME = seconds(1)
ROUND = seconds(0.1)
GATHER = seconds(0.5)
# Passes of the event loop in which an answer leaves for what has just become durable. The change
# that it tells of causes a round of decisions, which on a small share takes longer than all of them.
ANSWER_PASSES = 6
# Rounds of decisions that overload puts off at most, before one is made all the same.
MOST_PUT_OFF = 20
# A round of decisions that takes this long is told of in the log.
SLOW = seconds(0.3)
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
    return max(seconds(0), min(at_most(workers.cancel) - at_least(workers.lease) - CANCEL_SLACK, MOST_HELD))


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
        reachability: Reachability,
        token: int,
        rollout: RolloutContext,
    ) -> None:
        self._rollout = rollout
        self._load = load
        self._platform = platform
        self._operators = operators
        self.term = Term(election, token)
        self._state = state
        self._clock = clock
        self.token = token
        facts = platform.facts
        self._jobs = Jobs(facts, operators, rollout.features)
        self._attempts = token * ATTEMPTS
        self._rentals = 0
        store = facts.state.kept()
        self._slots = Slots(slot_bytes(store.value_kb))
        rate = store.write_rps * LEADERS_PART
        self.cluster = ClusterState(self._slots.most, machine_frame)
        census = Census(self.cluster.machines, clock, reachability.bounds.report_overdue, clock())
        self.reachability = TermReachability(
            reachability,
            census,
            token,
            self.term.leads,
            lambda stray: self.agents.is_news(stray),
            clock,
            self.term.step_down,
        )
        self.writer = Writer(
            state,
            token,
            self._slots,
            TokenBucket(rate, rate, clock),
            store.txn_ops,
            clock,
            lambda: self.term.step_down("a transaction found another leader"),
        )
        self.work = WorkModel()
        calls = TokenBucket(facts.cloud.rps * 0.9, max(1.0, facts.cloud.rps * 1.5), clock)
        unsure_until = clock() + election.unaccounted_for(facts.workers.lease)
        self.fleet = Fleet(
            self.cluster,
            CloudClient(cloud, calls, self.term.leads),
            self.writer,
            clock,
            facts.cloud.list_lag,
            facts.workers.lease,
            unsure_until,
            self.term.leads,
            self._next_rental,
            self.changed,
            self._lacking,
            census,
            self.reachability.in_doubt,
        )
        self.intake = Intake(
            self.cluster,
            self.term,
            self.writer,
            clock,
            self._jobs.new,
            lambda spec: self._jobs.can_run(spec, self.fleet.types.values()),
            lambda: bool(self.fleet.types),
            self.accepted,
            users_at_once(platform),
            facts.workers.cancel,
            self.fleet.empty_by,
            rollout.features,
        )
        self.agents = Agents(
            self.cluster,
            self.term,
            self.writer,
            self.work,
            clock,
            facts.workers.lease,
            self.fleet.describe,
            self.intake.finished,
            self.changed,
            lambda: self.placement.waiting,
            rollout.features,
        )
        self.placement = Placement(
            self.cluster,
            {team.name: team for team in facts.teams},
            clock,
            self._next_attempt,
            lambda: self._attempts,
            facts.workers.report,
            self.agents.assign,
            self._expected,
            self.agents.health.forgive,
        )
        self.sizing = Sizing(self.cluster, self.fleet, self.placement, self._expected, operators, clock)
        self.loaded = False
        self._change = asyncio.Event()
        self._shortfall = asyncio.Event()

    def changed(self) -> None:
        self._change.set()

    def accepted(self) -> None:
        """A job came: late groups are rented for at once, not at the next check, though its answer goes first."""
        self.placement.stale()
        self._decide_after(ANSWER_PASSES)

    def _decide_after(self, passes: int) -> None:
        if passes > 0:
            asyncio.get_running_loop().call_soon(self._decide_after, passes - 1)
            return
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

    # Running

    async def run(self) -> None:
        rollout = TermRollout(self._rollout, self._state, self.writer, self._clock, self.token)
        loader = Loader(
            self._state,
            self._slots,
            self.writer,
            self.cluster,
            self._jobs,
            self._clock,
            self.fleet.set_types,
            self.intake.finished,
            rollout,
            self._rollout.supported,
        )
        await loader.load()
        self.loaded = True
        self.changed()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.writer.run())
            group.create_task(self.fleet.run())
            group.create_task(self._place())
            group.create_task(self._size())
            group.create_task(self.reachability.run())
            group.create_task(rollout.run())

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
            if self.term.leads():
                self.placement.round()
            await asyncio.sleep(self._pause(ROUND, began))

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
            if self.term.leads():
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


class Controller:
    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        clock: Clock = steady,
        state: Caller | None = None,
        cloud: Caller | None = None,
        peers: type[Peers] = Peers,
        supported: SupportedLevels = SUPPORTED,
    ) -> None:
        """`supported` are the compatibility levels of this program; tests stand in for other versions."""
        self._platform = platform
        self._operators = operators
        self._clock = clock
        facts = platform.facts
        # A follower needs little of the state service's rate; a leader takes its own part.
        self._store_rps = facts.state.kept().rps
        self._requests = TokenBucket(self._store_rps * OTHERS_PART, self._store_rps * OTHERS_PART, clock)
        links = {other.node: split_address(other.address) for other in platform.others}
        self.peers = peers(
            links,
            self._answer,
            self.hear,
            self._say,
            users_at_once(platform),
        )
        self._features = ActiveFeatures()
        self.reachability = Reachability(
            platform.node,
            [other.node for other in platform.others],
            ReachabilityBounds(LEASE, facts.workers.report, facts.workers.lease),
            clock,
            self._features,
            facts.workers.lease * QUIET,
            self.peers,
        )
        self._state = StateClient(state or Client(platform.endpoints.state), self._requests, self.reachability.store)
        self._cloud = cloud or Client(platform.endpoints.cloud)
        members = frozenset({platform.node, *(other.node for other in platform.others)})
        gate = CompatibilityGate(
            Membership(platform.node, members), supported, operators.rollout, self._state, self._refused
        )
        self.rollout = RolloutContext(
            platform.node,
            members,
            supported,
            operators.rollout,
            gate,
            self._features,
            GUARDS_FOR_EACH_CHANGE * facts.state.kept().txn_ops,
            self._process_of,
        )
        self.election = Election(
            platform.node,
            self._state,
            clock,
            LEASE,
            holding_time(platform),
            self._won,
            self._lost,
            gate.wait_admitted,
            self.reachability,
        )
        self.load = Load(clock)
        self._features.on_change(self.peers.tell)
        self.api = Api(
            platform.node,
            self.election,
            self.peers,
            clock,
            self._intake,
            self._heartbeat,
            self.load,
            gate,
        )
        most = max(10, int(facts.limits.max_connections * SERVERS_PART))
        workers = ConnectionLimit(HEARTBEAT_PATH, max(5, int(most * WORKERS_PART)), facts.workers.lease)
        self.server = Server(self.api.handle, most, clock, workers)
        self.leader: Leader | None = None
        self._leading: asyncio.Task[None] | None = None

    def _won(self, token: int) -> None:
        self._requests.rate = self._requests.burst = self._store_rps * LEADERS_PART
        self.leader = Leader(
            self._platform,
            self._operators,
            self.election,
            self._state,
            self._cloud,
            self._clock,
            self.load,
            self.reachability,
            token,
            self.rollout,
        )
        self.reachability.term = self.leader.reachability
        self._leading = asyncio.get_running_loop().create_task(self._lead(self.leader))
        self.peers.tell()

    async def check_for_newer_terms(self) -> None:
        """While this node holds: as long as all others confirm that they have not won, it may go on.

        In an outage of the state service that is so for as long as it lasts, and no work is lost.
        Where one of them can't be asked, the time of holding ends as it would without.
        """
        while True:
            await asyncio.sleep(GATHER.total_seconds())
            if self.election.role is not Role.HOLDING:
                continue
            asked, token = self._clock(), self.election.token
            asks = [self._confirms_no_later_term(other.node, token) for other in self._platform.others]
            if all(await asyncio.gather(*asks)):
                self.election.note_no_later_term(token, asked)

    async def _process_of(self, node: str) -> str | None:
        """The process that a node runs; None where its version has no name for it. Raises PeerUnreachableError."""
        reply = await self.peers.ask(node, ForwardedRequest(0, WHICH_PROCESS, ""), PEER_ANSWER_TIME)
        return (reply.body or {}).get("process") if reply.status == 200 else None

    async def _confirms_no_later_term(self, node: str, token: int) -> bool:
        try:
            return (
                await self.peers.ask(node, ForwardedRequest(0, NO_LATER_TERM, "", token), PEER_ANSWER_TIME)
            ).status == 200
        except PeerUnreachableError:
            return False

    async def _lead(self, leader: Leader) -> None:
        try:
            await leader.run()
        except asyncio.CancelledError:
            raise
        except IncompatibleLevelError:
            # The gate has told why, and has given up leadership.
            pass
        except Exception:
            # A fault in one leader's work: another, with a view built anew, may fare better.
            log.exception("the leader's work has failed")
            leader.term.step_down("a fault")

    def _refused(self) -> None:
        """This process can't read what others may write by now."""
        self.election.step_down("the active level is not known here")

    def _lost(self) -> None:
        self._requests.rate = self._requests.burst = self._store_rps * OTHERS_PART
        if self.leader is not None:
            self.leader.stop()
        if self._leading is not None:
            self._leading.cancel()
        self.leader = self._leading = self.reachability.term = None
        self.peers.tell()

    def _intake(self) -> Intake | None:
        if self.leader is not None and self.leader.loaded and self.election.leads():
            return self.leader.intake
        return None

    async def _heartbeat(self, request: Request) -> Response:
        leader = self.leader
        if leader is None or not leader.loaded:
            known = self.election.leader
            other = None if known == self._platform.node else known
            return self.reachability.redirect(request, other, self.election.seen_token)
        return await leader.agents.heartbeat(request)

    def hear(self, lead: LeaderAnnouncement) -> None:
        """What another node says about who leads and who comes to it."""
        self.election.hear(lead.token, lead.leader)
        if lead.level is not msgspec.UNSET:
            self._hear_level(lead.level)
        if lead.node:
            self.reachability.hear(lead)

    def _hear_level(self, level: int) -> None:
        try:
            self.rollout.gate.check(level)
        except IncompatibleLevelError:
            return
        self.rollout.features.learn(level)

    async def _answer(self, ask: ForwardedRequest) -> ForwardedResponse:
        return await self.api.answer(ask)

    def _say(self) -> LeaderAnnouncement:
        token = self.election.seen_token
        machines = len(self.leader.cluster.machines) if self.leader is not None else 0
        lead = LeaderAnnouncement(
            self.election.leader, token, self._platform.node, *self.reachability.strays.strays(token), machines
        )
        self.reachability.add_to(lead)
        if self.leader is not None and self.rollout.features.is_active(Feature.LEVEL_IN_ANNOUNCEMENTS):
            lead.level = self.rollout.features.level
        return lead

    async def coordinate(self) -> None:
        """All that this node does to take part: announces itself, stands, and asks about newer terms."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.rollout.gate.run())
            group.create_task(self.election.run())
            group.create_task(self.check_for_newer_terms())

    async def run(self) -> None:
        platform = self._platform
        host, port = split_address(platform.listen)
        await self.server.start(host, port)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.load.run())
            group.create_task(self.server.sweep())
            group.create_task(self.peers.run(*split_address(platform.peer_listen)))
            group.create_task(self.coordinate())
