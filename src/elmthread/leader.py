"""What the leader runs, from winning its term to losing it."""

import asyncio
import logging
from dataclasses import dataclass
from datetime import timedelta

from elmthread.api.service import JobService, RequestLimits
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
from elmthread.limits import LEADERS_PART, users_at_once
from elmthread.machines.client import CloudClient
from elmthread.machines.manager import MachineManager
from elmthread.net.http_client import HttpCaller
from elmthread.persistence.assignments import Assignments
from elmthread.persistence.completions import CompletionRecorder
from elmthread.persistence.loading import StateLoader
from elmthread.persistence.records import empty_machine_record_bytes
from elmthread.placement.attempts import AttemptCounter
from elmthread.placement.scheduler import Scheduler, SchedulerSettings
from elmthread.reachability.census import Census
from elmthread.reachability.service import Reachability, TermReachability
from elmthread.reachability.zones import ZoneHealth
from elmthread.rollout.term import RolloutContext, TermRollout
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Platform
from elmthread.store.client import KeyValueStore
from elmthread.store.pacing import TokenBucket
from elmthread.store.page_batch import WriteLimits
from elmthread.store.pages import RecordPages, page_capacity
from elmthread.store.writer import RecordWriter
from elmthread.workers.heartbeats import HeartbeatHandler
from elmthread.workers.reconciliation import HeartbeatReconciler

log = logging.getLogger(__name__)

ROUND = seconds(0.1)
GATHER = seconds(0.5)
# Rounds of decisions that overload puts off at most, before one is made all the same.
MOST_PUT_OFF = 20
# A round of decisions that takes this long is told of in the log.
SLOW = seconds(0.3)


@dataclass(frozen=True)
class NodeServices:
    """What a process has, whoever leads, and its leader uses."""

    platform: Platform
    operators: Operators
    election: Election
    state: KeyValueStore
    cloud: HttpCaller
    clock: Clock
    load: OverloadControl
    reachability: Reachability
    rollout: RolloutContext


class Leader:
    """All that lives from winning the lease to losing it."""

    def __init__(self, node: NodeServices, fencing_token: int) -> None:
        """Everything that one term has, on a state that is loaded by `run`."""
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
        self._assignments = Assignments(self.context)
        self.machine_manager = self._make_machine_manager()
        self.job_service = self._make_job_service()
        reconciler = HeartbeatReconciler(self.context, self._completions, self.run_times)
        self.heartbeat_handler = HeartbeatHandler(
            self.context, reconciler, self._assignments, self.catalog, self.leases
        )
        self.scheduler = self._make_scheduler()
        self.autoscaler = Autoscaler(self.context, self.machine_manager, self.scheduler, self.run_times, node.operators)
        self.loaded = False

    def _make_context(self) -> TermContext:
        node = self._node
        limits = node.platform.cluster.store.strictest()
        pages = RecordPages(page_capacity(limits.value_kb))
        rate = limits.write_rps * LEADERS_PART
        write_limits = WriteLimits(TokenBucket(rate, rate, node.clock), limits.txn_ops)
        return TermContext(
            term=self.term,
            store=node.state,
            writer=RecordWriter(node.state, pages, self.term, write_limits, node.clock),
            cluster=ClusterState(pages.capacity, empty_machine_record_bytes),
            events=ClusterEvents(),
            features=node.rollout.features,
            clock=node.clock,
        )

    def _make_reachability(self) -> TermReachability:
        node, bounds = self._node, self._node.reachability.bounds
        census = Census(self.cluster.machines, node.clock, bounds.heartbeat_timeout, node.clock())
        return TermReachability(node.reachability, ZoneHealth(census, bounds, node.clock), self.context)

    def _make_machine_manager(self) -> MachineManager:
        node, cloud = self._node, self._node.platform.cluster.cloud
        calls = TokenBucket(cloud.rps * 0.9, max(1.0, cloud.rps * 1.5), node.clock)
        client = CloudClient(node.cloud, calls, cloud.list_lag, self.term.holds_lease)
        return MachineManager(self.context, client, self.catalog, self.leases, self.reachability.zones)

    def _make_job_service(self) -> JobService:
        platform = self._node.platform
        limits = RequestLimits(users_at_once(platform), platform.cluster.workers.cancellation_time)
        validator = JobValidator(platform.cluster, self._factory, self.catalog)
        return JobService(self.context, self._factory, validator, self.leases, limits)

    def _make_scheduler(self) -> Scheduler:
        cluster = self._node.platform.cluster
        settings = SchedulerSettings({team.name: team for team in cluster.teams}, cluster.workers.heartbeat_interval)
        attempts = AttemptCounter(self.term.fencing_token)
        return Scheduler(self.context, settings, attempts, self._assignments, self.run_times)

    # Running

    async def run(self) -> None:
        """Loads the view, then serves until the term ends. Raises what the load raises."""
        rollout = TermRollout(self._node.rollout, self.context)
        loader = StateLoader(self.context, self._factory, self.catalog, self._completions, rollout)
        await loader.load()
        self.loaded = True
        self._node.reachability.leading.set()
        self._events.notify_changed()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.writer.run())
            group.create_task(self.machine_manager.run())
            group.create_task(self._place())
            group.create_task(self._size())
            group.create_task(self.reachability.run())
            group.create_task(rollout.run())

    async def _place(self) -> None:
        """A round after each change, though not too often: rounds gather what came meanwhile."""
        while True:
            try:
                async with asyncio.timeout(1):
                    await self._events.changed.wait()
            except TimeoutError:
                pass
            self._events.changed.clear()
            await self._time_to_decide()
            began = self._node.clock()
            if self.term.holds_lease():
                self.scheduler.run_round()
            await asyncio.sleep(self._pause(ROUND, began))

    async def _time_to_decide(self) -> None:
        """Decisions wait while there is not even time for answers, though not for ever."""
        for _ in range(MOST_PUT_OFF):
            if not self._node.load.rejects(WorkClass.SCHEDULING_ROUND):
                return
            await asyncio.sleep(ROUND.total_seconds())

    def _pause(self, least: timedelta, began: timedelta) -> float:
        """However much there is to decide, most of the processor is left to everything else."""
        took = self._node.clock() - began
        if took > SLOW:
            log.info("a round of decisions took %.2f s", took.total_seconds())
        return max(least, took * 3).total_seconds()

    async def _size(self) -> None:
        while True:
            self._events.capacity_short.clear()
            await self._time_to_decide()
            began = self._node.clock()
            if self.term.holds_lease():
                self.autoscaler.run_round()
            await asyncio.sleep(self._pause(GATHER, began))
            try:
                async with asyncio.timeout(self._node.operators.check.total_seconds()):
                    # What comes together is judged together.
                    await self._events.capacity_short.wait()
            except TimeoutError:
                pass

    def stop(self) -> None:
        """Ends what is under way; nothing more is written or asked of the cloud."""
        self.writer.stop()
        self.machine_manager.stop()
