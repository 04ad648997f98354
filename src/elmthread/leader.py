"""What the leader runs, from winning its term to losing it."""

import asyncio
import logging
from dataclasses import dataclass
from datetime import timedelta

from elmthread.api.jobs import JobFactory
from elmthread.api.service import JobService
from elmthread.autoscaling.service import Autoscaler
from elmthread.autoscaling.work import RunTimeModel
from elmthread.cluster.state import ClusterState, Job
from elmthread.common.clock import Clock, seconds
from elmthread.common.load import OverloadControl, WorkClass
from elmthread.leadership.election import Election, Term
from elmthread.limits import (
    LEADERS_PART,
    users_at_once,
)
from elmthread.machines.client import CloudClient
from elmthread.machines.service import MachineManager
from elmthread.net.http import Caller
from elmthread.placement.service import Scheduler
from elmthread.reachability.census import Census
from elmthread.reachability.service import Reachability, TermReachability
from elmthread.rollout.term import RolloutContext, TermRollout
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Platform
from elmthread.store.assignments import machine_frame
from elmthread.store.client import KeyValueStore
from elmthread.store.loading import StateLoader
from elmthread.store.log import RecordPages, slot_bytes
from elmthread.store.pacing import TokenBucket
from elmthread.store.writer import RecordWriter
from elmthread.workers.service import HeartbeatHandler

log = logging.getLogger(__name__)

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


@dataclass(frozen=True)
class NodeServices:
    """What a process has, whoever leads, and its leader uses."""

    platform: Platform
    operators: Operators
    election: Election
    state: KeyValueStore
    cloud: Caller
    clock: Clock
    load: OverloadControl
    reachability: Reachability
    rollout: RolloutContext


class Leader:
    """All that lives from winning the lease to losing it."""

    def __init__(self, node: NodeServices, fencing_token: int) -> None:
        """Everything that one term has, on a view that is loaded by `run`."""
        platform, operators, clock = node.platform, node.operators, node.clock
        reachability, state, rollout = node.reachability, node.state, node.rollout
        self._rollout = rollout
        self._load = node.load
        self._reachability = reachability
        self._platform = platform
        self._operators = operators
        self.term = Term(node.election, fencing_token)
        self._state = state
        self._clock = clock
        self.fencing_token = fencing_token
        facts = platform.facts
        self._jobs = JobFactory(facts, operators, rollout.features)
        self._attempts = fencing_token * ATTEMPTS
        self._rentals = 0
        store = facts.state.kept()
        self._slots = RecordPages(slot_bytes(store.value_kb))
        rate = store.write_rps * LEADERS_PART
        self.cluster = ClusterState(self._slots.most, machine_frame)
        census = Census(self.cluster.machines, clock, reachability.bounds.heartbeat_timeout, clock())
        self.reachability = TermReachability(
            reachability,
            census,
            fencing_token,
            self.term.holds_lease,
            lambda stray: self.heartbeat_handler.is_news(stray),
            clock,
            self.term.step_down,
        )
        self.writer = RecordWriter(
            state,
            fencing_token,
            self._slots,
            TokenBucket(rate, rate, clock),
            store.txn_ops,
            clock,
            lambda: self.term.step_down("a transaction found another leader"),
        )
        self.run_times = RunTimeModel()
        calls = TokenBucket(facts.cloud.rps * 0.9, max(1.0, facts.cloud.rps * 1.5), clock)
        unsure_until = clock() + node.election.failover_delay(facts.workers.lease)
        self.machine_manager = MachineManager(
            self.cluster,
            CloudClient(node.cloud, calls, self.term.holds_lease),
            self.writer,
            clock,
            facts.cloud.list_lag,
            facts.workers.lease,
            unsure_until,
            self.term.holds_lease,
            self._next_rental,
            self.changed,
            self._lacking,
            census,
            self.reachability.in_doubt,
        )
        self.job_service = JobService(
            self.cluster,
            self.term,
            self.writer,
            clock,
            self._jobs.new,
            lambda spec: self._jobs.can_run(spec, self.machine_manager.machine_types.values()),
            lambda: bool(self.machine_manager.machine_types),
            self.accepted,
            users_at_once(platform),
            facts.workers.cancel,
            self.machine_manager.lease_expires_by,
            rollout.features,
        )
        self.heartbeat_handler = HeartbeatHandler(
            self.cluster,
            self.term,
            self.writer,
            self.run_times,
            clock,
            facts.workers.lease,
            self.machine_manager.apply_machine_type,
            self.job_service.finished,
            self.changed,
            lambda: self.scheduler.has_waiting_tasks,
            rollout.features,
        )
        self.scheduler = Scheduler(
            self.cluster,
            {team.name: team for team in facts.teams},
            clock,
            self._next_attempt,
            lambda: self._attempts,
            facts.workers.heartbeat_interval,
            self.heartbeat_handler.assign,
            self._expected,
            self.heartbeat_handler.health.forgive,
        )
        self.autoscaler = Autoscaler(
            self.cluster, self.machine_manager, self.scheduler, self._expected, operators, clock
        )
        self.loaded = False
        self._change = asyncio.Event()
        self._shortfall = asyncio.Event()

    def changed(self) -> None:
        """Something has changed that placement may act on."""
        self._change.set()

    def accepted(self) -> None:
        """A job came: late groups are rented for at once, not at the next check, though its answer goes first."""
        self.scheduler.invalidate_order()
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
        return f"r-{self.fencing_token}-{self._rentals}"

    def _expected(self, job: Job) -> timedelta:
        return self.run_times.run_time(job.spec.job_class, job.spec.expected_run_time_s)

    # Running

    async def run(self) -> None:
        """Loads the view, then serves until the term ends. Raises what the load raises."""
        rollout = TermRollout(self._rollout, self._state, self.writer, self._clock, self.fencing_token)
        loader = StateLoader(
            self._state,
            self._slots,
            self.writer,
            self.cluster,
            self._jobs,
            self._clock,
            self.machine_manager.set_machine_types,
            self.job_service.finished,
            rollout,
            self._rollout.supported,
        )
        await loader.load()
        self.loaded = True
        self._reachability.leading.set()
        self.changed()
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
                    await self._change.wait()
            except TimeoutError:
                pass
            self._change.clear()
            await self._time_to_decide()
            began = self._clock()
            if self.term.holds_lease():
                self.scheduler.run_round()
            await asyncio.sleep(self._pause(ROUND, began))

    async def _time_to_decide(self) -> None:
        """Decisions wait while there is not even time for answers, though not for ever."""
        for _ in range(MOST_PUT_OFF):
            if not self._load.rejects(WorkClass.DECIDING):
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
            if self.term.holds_lease():
                self.autoscaler.run_round()
            await asyncio.sleep(self._pause(GATHER, began))
            try:
                async with asyncio.timeout(self._operators.check.total_seconds()):
                    # What comes together is judged together.
                    await self._shortfall.wait()
            except TimeoutError:
                pass

    def stop(self) -> None:
        """Ends what is under way; nothing more is written or asked of the cloud."""
        self.writer.stop()
        self.machine_manager.stop()
