"""The controller: the process that every node runs, as leader or as follower."""

import asyncio

import msgspec

from elmthread.api.node import ApiNode
from elmthread.api.routes import RequestRouter
from elmthread.common.clock import Clock, steady_clock
from elmthread.common.features import SUPPORTED, ActiveFeatures, Feature, SupportedLevels
from elmthread.common.overload import OverloadControl
from elmthread.leader import Leader, NodeServices
from elmthread.leader_runner import LeaderRunner
from elmthread.leadership.election import Election, ElectionSettings
from elmthread.leadership.grace_period import GracePeriodExtension
from elmthread.leadership.step_down import StepDownReason
from elmthread.limits import (
    FOLLOWER_STORE_SHARE,
    LEADER_LEASE,
    grace_period,
    max_comparisons,
    max_server_connections,
    max_waiting_requests,
    max_worker_connections,
    misdirected_window,
    reachability_bounds,
)
from elmthread.net.connections import ConnectionLimit
from elmthread.net.http_client import HttpCaller, HttpClient
from elmthread.net.http_server import HttpServer
from elmthread.peers.connection import PeerAddress
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement
from elmthread.peers.network import PeerNetwork
from elmthread.peers.requests import PeerRequests
from elmthread.reachability.candidacy import ReachabilityCandidacy
from elmthread.reachability.monitor import Reachability, ReachabilitySettings
from elmthread.rollout.gate import CompatibilityGate, IncompatibleLevelError
from elmthread.rollout.membership import Membership
from elmthread.rollout.term import RolloutContext
from elmthread.settings.operators import OperatorSettings
from elmthread.settings.platform import PlatformSettings, parse_address
from elmthread.store.client import KeyValueStore
from elmthread.store.token_bucket import TokenBucket
from elmthread.workers.messages import HEARTBEAT_PATH


class ControllerEnvironment(msgspec.Struct, frozen=True):
    """The external dependencies of a controller; tests replace some of them."""

    clock: Clock = steady_clock
    # If None, an HTTP client of the endpoint in the platform settings is used; the same holds for `cloud`.
    store: HttpCaller | None = None
    cloud: HttpCaller | None = None
    peer_network: type[PeerNetwork] = PeerNetwork
    # The compatibility levels that this version supports; tests set those of other versions.
    supported: SupportedLevels = SUPPORTED


class Controller:
    """The components of one process; handles peer messages as a `peers.handler.PeerMessageHandler`."""

    def __init__(
        self, platform: PlatformSettings, operators: OperatorSettings, environment: ControllerEnvironment | None = None
    ) -> None:
        """Create all components; `run` starts them."""
        environment = environment or ControllerEnvironment()
        self.node = platform.node
        self._platform = platform
        self._operators = operators
        self._environment = environment
        self.clock = environment.clock
        self._features = ActiveFeatures()
        self.peers = self._make_peer_network()
        self._features.on_change(self.peers.announce)
        self._peer_requests = PeerRequests(self.peers)
        self.reachability = self._make_reachability()
        store_rps = platform.cluster.store.strictest().rps * FOLLOWER_STORE_SHARE
        store_rate_limit = TokenBucket(store_rps, store_rps, self.clock)
        self.store = KeyValueStore(
            environment.store or HttpClient(platform.endpoints.store), store_rate_limit, self.reachability.store
        )
        self.rollout = self._make_rollout()
        self.overload_control = OverloadControl(self.clock)
        self.election = self._make_election()
        self.leader_runner = LeaderRunner(self._make_node_services(), store_rate_limit, self.peers)
        self.election.add_listener(self.leader_runner)
        self._grace_period_extension = GracePeriodExtension(
            self.election, [peer.node for peer in platform.peers], self._peer_requests, self.clock
        )
        self.api = self._make_api()
        self.server = self._make_server()

    # Construction

    def _make_peer_network(self) -> PeerNetwork:
        addresses = [PeerAddress(peer.node, *parse_address(peer.address)) for peer in self._platform.peers]
        return self._environment.peer_network(addresses, self, max_waiting_requests(self._platform))

    def _make_reachability(self) -> Reachability:
        platform = self._platform
        settings = ReachabilitySettings(
            platform.node,
            [peer.node for peer in platform.peers],
            reachability_bounds(platform),
            misdirected_window(platform),
        )
        return Reachability(settings, self.clock, self._features, self.peers)

    def _make_rollout(self) -> RolloutContext:
        platform = self._platform
        membership = Membership(platform.node, platform.members, self._environment.supported, self._operators.rollout)
        gate = CompatibilityGate(membership, self.store, self._step_down_as_incompatible)
        return RolloutContext(
            membership, gate, self._features, max_comparisons(platform), self._peer_requests.get_process
        )

    def _make_election(self) -> Election:
        settings = ElectionSettings(self._platform.node, LEADER_LEASE, grace_period(self._platform))
        candidacy = ReachabilityCandidacy(self.rollout.gate, self.reachability)
        return Election(settings, self.store, self.clock, candidacy)

    def _make_node_services(self) -> NodeServices:
        return NodeServices(
            platform=self._platform,
            operators=self._operators,
            election=self.election,
            store=self.store,
            cloud=self._environment.cloud or HttpClient(self._platform.endpoints.cloud),
            clock=self.clock,
            overload_control=self.overload_control,
            reachability=self.reachability,
            rollout=self.rollout,
        )

    def _make_api(self) -> RequestRouter:
        node = ApiNode(
            name=self.node,
            election=self.election,
            peers=self.peers,
            gate=self.rollout.gate,
            overload_control=self.overload_control,
            clock=self.clock,
            leading_service=self.leader_runner.leading_service,
        )
        return RequestRouter(node, self.leader_runner.heartbeat)

    def _make_server(self) -> HttpServer:
        platform = self._platform
        workers = ConnectionLimit(HEARTBEAT_PATH, max_worker_connections(platform), platform.cluster.workers.lease)
        return HttpServer(self.api.handle, max_server_connections(platform), self.clock, workers)

    # Leadership

    @property
    def leader(self) -> Leader | None:
        """The leader's services while this node leads, else None."""
        return self.leader_runner.leader

    @property
    def leader_task(self) -> asyncio.Task[None] | None:
        """The task that runs the leader while this node leads, else None."""
        return self.leader_runner.task

    def _step_down_as_incompatible(self) -> None:
        """Step down, as other controllers may already write formats that this version can't read."""
        self.election.step_down(StepDownReason.INCOMPATIBLE_LEVEL)

    # Messages from and to the other controllers

    async def handle_request(self, request: ForwardedRequest) -> ForwardedResponse:
        """Return the response to a request that another controller forwarded."""
        return await self.api.handle_peer_request(request)

    def handle_announcement(self, announcement: LeaderAnnouncement) -> None:
        """Record the leader, the active level and the state of the links that another controller announces."""
        self.election.observe_term(announcement.fencing_token, announcement.leader)
        if announcement.level is not msgspec.UNSET:
            self._observe_level(announcement.level)
        if announcement.node:
            self.reachability.receive(announcement)

    def _observe_level(self, level: int) -> None:
        try:
            self.rollout.gate.check(level)
        except IncompatibleLevelError:
            return
        self._features.raise_level(level)

    def make_announcement(self) -> LeaderAnnouncement:
        """Return an announcement of the known leader, and of the state of this controller's links."""
        fencing_token = self.election.highest_seen_token
        misdirected = self.reachability.misdirected.summarize(fencing_token)
        announcement = LeaderAnnouncement(
            self.election.leader,
            fencing_token,
            self._platform.node,
            misdirected.count,
            misdirected.sample,
            len(self.leader.cluster.machines) if self.leader is not None else 0,
        )
        self.reachability.add_view_to(announcement)
        if self.leader is not None and self._features.is_active(Feature.LEVEL_IN_ANNOUNCEMENTS):
            announcement.level = self._features.level
        return announcement

    # Running

    async def coordinate(self) -> None:
        """Take part in the cluster: announce this process, compete for leadership, extend the grace period."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.rollout.gate.run())
            group.create_task(self.election.run())
            group.create_task(self._grace_period_extension.run())

    async def run(self) -> None:
        """Serve users, workers and the other controllers until cancelled."""
        platform = self._platform
        host, port = parse_address(platform.listen)
        await self.server.start(host, port)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.overload_control.run())
            group.create_task(self.server.close_expired())
            group.create_task(self.peers.run(*parse_address(platform.peer_listen)))
            group.create_task(self.coordinate())
