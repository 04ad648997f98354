"""The leader's services, which run for one term."""

import asyncio
import logging
from datetime import timedelta

import msgspec

from elmthread.api.job_service import JobService, RequestLimits
from elmthread.api.validation import JobValidator
from elmthread.autoscaling.autoscaler import Autoscaler
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.events import ClusterEvents
from elmthread.cluster.job_factory import JobFactory
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import Clock, seconds
from elmthread.common.overload import OverloadControl, WorkClass
from elmthread.leadership.context import TermContext
from elmthread.leadership.election import Election
from elmthread.leadership.term import Term
from elmthread.limits import LEADER_STORE_SHARE, max_waiting_requests
from elmthread.machines.client import CloudClient
from elmthread.machines.manager import MachineManager
from elmthread.net.http_client import HttpCaller
from elmthread.persistence.assignments import AssignmentRecorder
from elmthread.persistence.completions import CompletionRecorder
from elmthread.persistence.loading import StateLoader
from elmthread.persistence.records import empty_machine_record_bytes
from elmthread.placement.attempts import AttemptCounter
from elmthread.placement.scheduler import Scheduler, SchedulerSettings
from elmthread.reachability.monitor import Reachability
from elmthread.reachability.term import TermReachability
from elmthread.reachability.zone_counts import ZoneCounts
from elmthread.reachability.zone_health import ZoneHealth
from elmthread.rollout.term import RolloutContext, TermRollout
from elmthread.settings.operators import OperatorSettings
from elmthread.settings.platform import PlatformSettings
from elmthread.store.client import KeyValueStore
from elmthread.store.page_batch import WriteLimits
from elmthread.store.pages import RecordPages, page_capacity
from elmthread.store.token_bucket import TokenBucket
from elmthread.store.writer import RecordWriter
from elmthread.workers.heartbeats import HeartbeatHandler
from elmthread.workers.reconciliation import HeartbeatReconciler

log = logging.getLogger(__name__)

# A round handles all changes since the previous round, so the minimum interval batches them.
MIN_SCHEDULING_INTERVAL = seconds(0.1)
MAX_SCHEDULING_INTERVAL = seconds(1)
MIN_AUTOSCALING_INTERVAL = seconds(0.5)
# How many times in a row overload may delay a round, by MIN_SCHEDULING_INTERVAL each, before it runs anyway.
MAX_OVERLOAD_DELAYS = 20
# Rounds that take longer are logged.
SLOW_ROUND = seconds(0.3)
# Length of the pause after a round, in durations of that round: leaves most of the CPU to all other work.
PAUSE_PER_ROUND = 3
# Share of the cloud API's rate limit that the leader uses, and its burst: what the full limit allows in this time.
CLOUD_RATE_SHARE = 0.9
CLOUD_BURST_S = 1.5


class NodeServices(msgspec.Struct, frozen=True):
    """Services that exist once per process, and that the `Leader` of each term uses."""

    platform: PlatformSettings
    operators: OperatorSettings
    election: Election
    store: KeyValueStore
    cloud: HttpCaller
    clock: Clock
    overload_control: OverloadControl
    reachability: Reachability
    rollout: RolloutContext


class Leader:
    """The services of one term, created when the node is elected and stopped when it loses leadership."""

    def __init__(self, services: NodeServices, fencing_token: int) -> None:
        """Create the services of the term; `run` loads the cluster state."""
        self._services = services
        self.term = Term(services.election, fencing_token)
        self.context = self._make_context()
        self.cluster = self.context.cluster
        self.writer = self.context.writer
        self._events = self.context.events
        self.reachability = self._make_reachability()
        self.leases = WorkerLeases(
            services.platform.cluster.workers.lease,
            services.clock() + services.election.failover_delay(services.platform.cluster.workers.lease),
        )
        self.catalog = MachineTypeCatalog(self.cluster, self._events)
        self.run_times = RunTimeModel()
        self._factory = JobFactory(services.platform.cluster, services.operators, services.rollout.features)
        self._completions = CompletionRecorder(self.context)
        self._assignments = AssignmentRecorder(self.context)
        self.machine_manager = self._make_machine_manager()
        self.job_service = self._make_job_service()
        reconciler = HeartbeatReconciler(self.context, self._completions, self.run_times)
        self.heartbeat_handler = HeartbeatHandler(
            self.context, reconciler, self._assignments, self.catalog, self.leases
        )
        self.scheduler = self._make_scheduler()
        self.autoscaler = Autoscaler(
            self.context, self.machine_manager, self.scheduler, self.run_times, services.operators
        )

    def _make_context(self) -> TermContext:
        services = self._services
        limits = services.platform.cluster.store.strictest()
        pages = RecordPages(page_capacity(limits.value_kb))
        rate = limits.write_rps * LEADER_STORE_SHARE
        write_limits = WriteLimits(TokenBucket(rate, rate, services.clock), limits.txn_ops)
        return TermContext(
            term=self.term,
            store=services.store,
            writer=RecordWriter(services.store, pages, self.term, write_limits, services.clock),
            cluster=ClusterState(pages.capacity, empty_machine_record_bytes),
            events=ClusterEvents(),
            features=services.rollout.features,
            clock=services.clock,
        )

    def _make_reachability(self) -> TermReachability:
        services, bounds = self._services, self._services.reachability.bounds
        counts = ZoneCounts(self.cluster.machines, services.clock, bounds.heartbeat_timeout, services.clock())
        return TermReachability(services.reachability, ZoneHealth(counts, bounds, services.clock), self.context)

    def _make_machine_manager(self) -> MachineManager:
        services, cloud = self._services, self._services.platform.cluster.cloud
        rate_limit = TokenBucket(cloud.rps * CLOUD_RATE_SHARE, max(1.0, cloud.rps * CLOUD_BURST_S), services.clock)
        client = CloudClient(services.cloud, rate_limit, cloud.list_lag, self.term.holds_lease)
        return MachineManager(self.context, client, self.catalog, self.leases, self.reachability.zone_health)

    def _make_job_service(self) -> JobService:
        platform = self._services.platform
        limits = RequestLimits(max_waiting_requests(platform), platform.cluster.workers.cancellation_time)
        validator = JobValidator(platform.cluster, self._factory, self.catalog)
        return JobService(self.context, self._factory, validator, self.leases, limits)

    def _make_scheduler(self) -> Scheduler:
        cluster = self._services.platform.cluster
        settings = SchedulerSettings({team.name: team for team in cluster.teams}, cluster.workers.heartbeat_interval)
        attempts = AttemptCounter(self.term.fencing_token)
        return Scheduler(self.context, settings, attempts, self._assignments, self.run_times)

    # Running

    @property
    def loaded(self) -> bool:
        """Whether the cluster state is loaded, so that users and workers can be served."""
        return self._services.reachability.leader_ready.is_set()

    async def run(self) -> None:
        """Load the cluster state, then serve until the term ends. Propagates errors from loading."""
        rollout = TermRollout(self._services.rollout, self.context)
        loader = StateLoader(self.context, self._factory, self.catalog, self._completions, rollout)
        await loader.load()
        self._services.reachability.leader_ready.set()
        self._events.notify_changed()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.writer.run())
            group.create_task(self.machine_manager.run())
            group.create_task(self._schedule())
            group.create_task(self._autoscale())
            group.create_task(self.reachability.run())
            group.create_task(rollout.run())

    async def _schedule(self) -> None:
        """Run scheduling rounds after changes, with pauses in between, and periodically without changes."""
        while True:
            await _wait_for(self._events.changed, MAX_SCHEDULING_INTERVAL)
            self._events.changed.clear()
            await self._wait_while_overloaded()
            started_at = self._services.clock()
            if self.term.holds_lease():
                self.scheduler.run_round()
            await self._pause(MIN_SCHEDULING_INTERVAL, started_at)

    async def _autoscale(self) -> None:
        """Run autoscaling rounds periodically, and earlier when the cloud refuses machines or jobs have changed."""
        while True:
            self._events.capacity_short.clear()
            await self._wait_while_overloaded()
            started_at = self._services.clock()
            if self.term.holds_lease():
                self.autoscaler.run_round()
            await self._pause(MIN_AUTOSCALING_INTERVAL, started_at)
            await _wait_for(self._events.capacity_short, self._services.operators.urgent_share_check_interval)

    async def _wait_while_overloaded(self) -> None:
        """Delay a round while overload leaves too little time even for responses, MAX_OVERLOAD_DELAYS times at most."""
        for _ in range(MAX_OVERLOAD_DELAYS):
            if not self._services.overload_control.rejects(WorkClass.SCHEDULING_ROUND):
                return
            await asyncio.sleep(MIN_SCHEDULING_INTERVAL.total_seconds())

    async def _pause(self, min_pause: timedelta, started_at: timedelta) -> None:
        """Sleep after a round in proportion to the round's duration, but for at least `min_pause`."""
        duration = self._services.clock() - started_at
        if duration > SLOW_ROUND:
            log.info("a scheduling or autoscaling round took %.2f s", duration.total_seconds())
        await asyncio.sleep(max(min_pause, duration * PAUSE_PER_ROUND).total_seconds())

    def stop(self) -> None:
        """Stop the writer and the machine manager: no further records are written and no cloud requests sent."""
        self.writer.stop()
        self.machine_manager.stop()


async def _wait_for(event: asyncio.Event, timeout: timedelta) -> None:
    """Wait until the event is set, at most for the timeout."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await event.wait()
    except TimeoutError:
        pass
