"""What the leader runs, from winning its term to losing it."""

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

# Rounds gather the changes that come meanwhile.
MIN_SCHEDULING_INTERVAL = seconds(0.1)
MAX_SCHEDULING_INTERVAL = seconds(1)
MIN_AUTOSCALING_INTERVAL = seconds(0.5)
# Overload delays a round so often at most, before it is made all the same.
MAX_OVERLOAD_DELAYS = 20
# A round that takes longer is logged.
SLOW_ROUND = seconds(0.3)
# A pause is so many times as long as the round before it: most of the processor is left to everything else.
PAUSE_PER_ROUND = 3
# Of the cloud's request rate.
CLOUD_RATE_SHARE = 0.9
CLOUD_BURST_S = 1.5


class NodeServices(msgspec.Struct, frozen=True):
    """What a process has, whoever leads, and its leader uses."""

    platform: PlatformSettings
    operators: OperatorSettings
    election: Election
    store: KeyValueStore
    cloud: HttpCaller
    clock: Clock
    load: OverloadControl
    reachability: Reachability
    rollout: RolloutContext


class Leader:
    """All that lives from winning the lease to losing it."""

    def __init__(self, node: NodeServices, fencing_token: int) -> None:
        """Make everything that one term has; `run` loads the cluster state."""
        self._node = node
        self.term = Term(node.election, fencing_token)
        self.context = self._make_context()
        self.cluster = self.context.cluster
        self.writer = self.context.writer
        self._events = self.context.events
        self.reachability = self._make_reachability()
        self.leases = WorkerLeases(
            node.platform.cluster.workers.lease,
            node.clock() + node.election.failover_delay(node.platform.cluster.workers.lease),
        )
        self.catalog = MachineTypeCatalog(self.cluster, self._events)
        self.run_times = RunTimeModel()
        self._factory = JobFactory(node.platform.cluster, node.operators, node.rollout.features)
        self._completions = CompletionRecorder(self.context)
        self._assignments = AssignmentRecorder(self.context)
        self.machine_manager = self._make_machine_manager()
        self.job_service = self._make_job_service()
        reconciler = HeartbeatReconciler(self.context, self._completions, self.run_times)
        self.heartbeat_handler = HeartbeatHandler(
            self.context, reconciler, self._assignments, self.catalog, self.leases
        )
        self.scheduler = self._make_scheduler()
        self.autoscaler = Autoscaler(self.context, self.machine_manager, self.scheduler, self.run_times, node.operators)

    def _make_context(self) -> TermContext:
        node = self._node
        limits = node.platform.cluster.store.strictest()
        pages = RecordPages(page_capacity(limits.value_kb))
        rate = limits.write_rps * LEADER_STORE_SHARE
        write_limits = WriteLimits(TokenBucket(rate, rate, node.clock), limits.txn_ops)
        return TermContext(
            term=self.term,
            store=node.store,
            writer=RecordWriter(node.store, pages, self.term, write_limits, node.clock),
            cluster=ClusterState(pages.capacity, empty_machine_record_bytes),
            events=ClusterEvents(),
            features=node.rollout.features,
            clock=node.clock,
        )

    def _make_reachability(self) -> TermReachability:
        node, bounds = self._node, self._node.reachability.bounds
        counts = ZoneCounts(self.cluster.machines, node.clock, bounds.heartbeat_timeout, node.clock())
        return TermReachability(node.reachability, ZoneHealth(counts, bounds, node.clock), self.context)

    def _make_machine_manager(self) -> MachineManager:
        node, cloud = self._node, self._node.platform.cluster.cloud
        calls = TokenBucket(cloud.rps * CLOUD_RATE_SHARE, max(1.0, cloud.rps * CLOUD_BURST_S), node.clock)
        client = CloudClient(node.cloud, calls, cloud.list_lag, self.term.holds_lease)
        return MachineManager(self.context, client, self.catalog, self.leases, self.reachability.zone_health)

    def _make_job_service(self) -> JobService:
        platform = self._node.platform
        limits = RequestLimits(max_waiting_requests(platform), platform.cluster.workers.cancellation_time)
        validator = JobValidator(platform.cluster, self._factory, self.catalog)
        return JobService(self.context, self._factory, validator, self.leases, limits)

    def _make_scheduler(self) -> Scheduler:
        cluster = self._node.platform.cluster
        settings = SchedulerSettings({team.name: team for team in cluster.teams}, cluster.workers.heartbeat_interval)
        attempts = AttemptCounter(self.term.fencing_token)
        return Scheduler(self.context, settings, attempts, self._assignments, self.run_times)

    # Running

    @property
    def loaded(self) -> bool:
        """Whether the cluster state is loaded, so that users and workers can be served."""
        return self._node.reachability.leader_ready.is_set()

    async def run(self) -> None:
        """Load the cluster state, then serve until the term ends. Raises what the load raises."""
        rollout = TermRollout(self._node.rollout, self.context)
        loader = StateLoader(self.context, self._factory, self.catalog, self._completions, rollout)
        await loader.load()
        self._node.reachability.leader_ready.set()
        self._events.notify_changed()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.writer.run())
            group.create_task(self.machine_manager.run())
            group.create_task(self._schedule())
            group.create_task(self._autoscale())
            group.create_task(self.reachability.run())
            group.create_task(rollout.run())

    async def _schedule(self) -> None:
        """Run a scheduling round after each change, though not too often."""
        while True:
            await _wait_for(self._events.changed, MAX_SCHEDULING_INTERVAL)
            self._events.changed.clear()
            await self._wait_while_overloaded()
            began = self._node.clock()
            if self.term.holds_lease():
                self.scheduler.run_round()
            await self._pause(MIN_SCHEDULING_INTERVAL, began)

    async def _autoscale(self) -> None:
        """Run an autoscaling round at intervals, and soon after machines could not be had."""
        while True:
            self._events.capacity_short.clear()
            await self._wait_while_overloaded()
            began = self._node.clock()
            if self.term.holds_lease():
                self.autoscaler.run_round()
            await self._pause(MIN_AUTOSCALING_INTERVAL, began)
            await _wait_for(self._events.capacity_short, self._node.operators.urgent_share_check_interval)

    async def _wait_while_overloaded(self) -> None:
        """Delay decisions while there is not even time for responses, though not for ever."""
        for _ in range(MAX_OVERLOAD_DELAYS):
            if not self._node.load.rejects(WorkClass.SCHEDULING_ROUND):
                return
            await asyncio.sleep(MIN_SCHEDULING_INTERVAL.total_seconds())

    async def _pause(self, shortest: timedelta, began: timedelta) -> None:
        """Pause after a round that began then, the longer the longer it took."""
        took = self._node.clock() - began
        if took > SLOW_ROUND:
            log.info("a round of decisions took %.2f s", took.total_seconds())
        await asyncio.sleep(max(shortest, took * PAUSE_PER_ROUND).total_seconds())

    def stop(self) -> None:
        """End what is under way; nothing more is written or requested of the cloud."""
        self.writer.stop()
        self.machine_manager.stop()


async def _wait_for(event: asyncio.Event, timeout: timedelta) -> None:
    """Return once the event is set, at the latest after the timeout."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await event.wait()
    except TimeoutError:
        pass
