"""One controller: what every node runs, whoever leads."""

import asyncio
import logging

import msgspec

from elmthread.api.node import ApiNode
from elmthread.api.routes import RequestRouter
from elmthread.api.service import JobService
from elmthread.common.clock import Clock, seconds, steady
from elmthread.common.features import SUPPORTED, ActiveFeatures, Feature, SupportedLevels
from elmthread.common.overload import OverloadControl
from elmthread.leader import Leader, NodeServices
from elmthread.leadership.election import Election, Role
from elmthread.limits import LEADERS_PART, LEASE, OTHERS_PART, SERVERS_PART, WORKERS_PART, holding_time, users_at_once
from elmthread.machines.failure_detection import HEARTBEAT_OVERDUE_LEASES
from elmthread.net.connections import ConnectionLimit
from elmthread.net.http_client import HttpCaller, HttpClient
from elmthread.net.http_messages import Request, Response
from elmthread.net.http_server import HttpServer
from elmthread.peers.link import Peers, PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement, RequestVerb
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.service import Reachability
from elmthread.rollout.gate import CompatibilityGate, IncompatibleLevelError, Membership
from elmthread.rollout.term import RolloutContext
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Platform, parse_address
from elmthread.store.client import KeyValueStore
from elmthread.store.pacing import TokenBucket
from elmthread.workers.messages import HEARTBEAT_PATH, names_leader

log = logging.getLogger(__name__)

# The state service lets a transaction compare this many keys for each change that it allows.
GUARDS_FOR_EACH_CHANGE = 4
# Another node says within this time whether it may have won.
PEER_ANSWER_TIME = seconds(1)
# A node that holds asks the others this often.
CHECK_EVERY = seconds(0.5)


class Controller:
    """All parts of one process, joined."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        clock: Clock = steady,
        state: HttpCaller | None = None,
        cloud: HttpCaller | None = None,
        peers: type[Peers] = Peers,
        supported: SupportedLevels = SUPPORTED,
    ) -> None:
        """`supported` are the compatibility levels of this program; tests stand in for other versions."""
        self.node = platform.node
        self._platform = platform
        self._operators = operators
        self._clock = clock
        cluster = platform.cluster
        # A follower needs little of the state service's rate; a leader takes its own part.
        self._store_rps = cluster.store.strictest().rps
        self._requests = TokenBucket(self._store_rps * OTHERS_PART, self._store_rps * OTHERS_PART, clock)
        links: dict[str, tuple[str, int]] = {peer.node: parse_address(peer.address) for peer in platform.peers}
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
            [peer.node for peer in platform.peers],
            ReachabilityBounds(LEASE, cluster.workers.heartbeat_interval, cluster.workers.lease),
            clock,
            self._features,
            cluster.workers.lease * HEARTBEAT_OVERDUE_LEASES,
            self.peers,
        )
        self._state = KeyValueStore(
            state or HttpClient(platform.endpoints.store), self._requests, self.reachability.store
        )
        self._cloud = cloud or HttpClient(platform.endpoints.cloud)
        members = platform.members
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
            GUARDS_FOR_EACH_CHANGE * cluster.store.strictest().txn_ops,
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
        self.load = OverloadControl(clock)
        self._features.on_change(self.peers.tell)
        api_node = ApiNode(platform.node, self.election, self.peers, gate, self.load, clock, self._leading_service)
        self.api = RequestRouter(api_node, self._heartbeat)
        most = max(10, int(cluster.limits.max_connections * SERVERS_PART))
        workers = ConnectionLimit(HEARTBEAT_PATH, max(5, int(most * WORKERS_PART)), cluster.workers.lease)
        self.server = HttpServer(self.api.handle, most, clock, workers)
        self.leader: Leader | None = None
        self._leading: asyncio.Task[None] | None = None

    def _won(self, fencing_token: int) -> None:
        self._requests.rate = self._requests.burst = self._store_rps * LEADERS_PART
        services = NodeServices(
            self._platform,
            self._operators,
            self.election,
            self._state,
            self._cloud,
            self._clock,
            self.load,
            self.reachability,
            self.rollout,
        )
        self.leader = Leader(services, fencing_token)
        self.reachability.term = self.leader.reachability
        self._leading = asyncio.get_running_loop().create_task(self._lead(self.leader))
        self.peers.tell()

    async def check_for_newer_terms(self) -> None:
        """While this node holds: as long as all others confirm that they have not won, it may go on.

        In an outage of the state service that is so for as long as it lasts, and no work is lost.
        Where one of them can't be asked, the time of holding ends as it would without.
        """
        while True:
            await asyncio.sleep(CHECK_EVERY.total_seconds())
            if self.election.role is not Role.LEASE_UNCERTAIN:
                continue
            asked, fencing_token = self._clock(), self.election.fencing_token
            asks = [self._confirms_no_later_term(peer.node, fencing_token) for peer in self._platform.peers]
            if all(await asyncio.gather(*asks)):
                self.election.note_no_later_term(fencing_token, asked)

    async def _process_of(self, node: str) -> str | None:
        """The process that a node runs; None where its version has no name for it. Raises PeerUnreachableError."""
        reply = await self.peers.ask(node, ForwardedRequest(0, RequestVerb.WHICH_PROCESS, ""), PEER_ANSWER_TIME)
        return (reply.body or {}).get("process") if reply.status == 200 else None

    async def _confirms_no_later_term(self, node: str, fencing_token: int) -> bool:
        try:
            return (
                await self.peers.ask(
                    node, ForwardedRequest(0, RequestVerb.CONFIRM_NO_LATER_TERM, "", fencing_token), PEER_ANSWER_TIME
                )
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
        self.reachability.leading.clear()
        self.peers.tell()

    def _leading_service(self) -> JobService | None:
        if self.leader is not None and self.leader.loaded and self.election.holds_lease():
            return self.leader.job_service
        return None

    async def _heartbeat(self, request: Request) -> Response:
        leader = self.leader
        if leader is None or not leader.loaded:
            known = self.election.leader
            other = None if known == self._platform.node else known
            response = self.reachability.redirect(request, other, self.election.highest_seen_token)
            if names_leader(response.body) or not await self.reachability.wait_to_lead():
                return response
            leader = self.leader
            if leader is None:
                return response
        return await leader.heartbeat_handler.handle(request)

    def hear(self, lead: LeaderAnnouncement) -> None:
        """What another node says about who leads and who comes to it."""
        self.election.observe_term(lead.fencing_token, lead.leader)
        if lead.level is not msgspec.UNSET:
            self._hear_level(lead.level)
        if lead.node:
            self.reachability.hear(lead)

    def _hear_level(self, level: int) -> None:
        try:
            self.rollout.gate.check(level)
        except IncompatibleLevelError:
            return
        self.rollout.features.raise_level(level)

    async def _answer(self, ask: ForwardedRequest) -> ForwardedResponse:
        return await self.api.answer(ask)

    def _say(self) -> LeaderAnnouncement:
        fencing_token = self.election.highest_seen_token
        machines = len(self.leader.cluster.machines) if self.leader is not None else 0
        lead = LeaderAnnouncement(
            self.election.leader,
            fencing_token,
            self._platform.node,
            *self.reachability.strays.strays(fencing_token),
            machines,
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
        """Serves users, workers and the other controllers until it is cancelled."""
        platform = self._platform
        host, port = parse_address(platform.listen)
        await self.server.start(host, port)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.load.run())
            group.create_task(self.server.close_expired())
            group.create_task(self.peers.run(*parse_address(platform.peer_listen)))
            group.create_task(self.coordinate())
