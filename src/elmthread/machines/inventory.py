"""Reconciliation of the known machines with the cloud's list.

The list lags, and can be older than the one before it, so a machine missing from it may still exist: one that
several lists leave out and that sends no heartbeats is deleted explicitly.
"""

import asyncio
import logging
from datetime import timedelta

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.machine_deletion import DeletionReason, request_deletion
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.machines.client import MAX_MACHINES_PER_PAGE, CloudClient, CloudError, NoCapacityError
from elmthread.machines.messages import InstanceState, ListedMachine

log = logging.getLogger(__name__)

# A machine that this many consecutive lists leave out is deleted, if it sends no heartbeats either.
MAX_MISSED_LISTS = 3
# Of the calls that the cloud allows, at most one in this many reads the list.
CALLS_PER_LIST_CALL = 3


class Inventory:
    """Reconciles the cluster's machines with the cloud's list."""

    def __init__(self, context: TermContext, cloud: CloudClient, catalog: MachineTypeCatalog) -> None:
        """`catalog` gives sizes to machines that were not known before."""
        self._cluster = context.cluster
        self._term = context.term
        self._clock = context.clock
        self._cloud = cloud
        self._catalog = catalog
        # The number of consecutive lists that left a machine out, by its name.
        self._missed_lists: dict[str, int] = {}

    def refresh_interval(self) -> timedelta:
        """Return how often the list is to be read, as its lag and the cloud's rate allow."""
        pages = 1 + len(self._cluster.machines) // MAX_MACHINES_PER_PAGE
        return max(self._cloud.list_lag / 2, seconds(CALLS_PER_LIST_CALL * pages / self._cloud.rate_limit.rate))

    async def refresh(self) -> None:
        """Read the whole list and reconcile with it; the caller has taken its first call from the rate limit."""
        machines: list[ListedMachine] = []
        after = None
        try:
            while True:
                page = await self._cloud.list_page(after)
                machines += page.machines
                if not page.has_more or not page.machines:
                    break
                after = page.machines[-1].name
                while not self._cloud.rate_limit.take():
                    await asyncio.sleep(self._cloud.rate_limit.time_until().total_seconds())
        except (CloudError, NoCapacityError) as error:
            log.info("reading the list of machines failed: %s", error)
            return
        if self._term.holds_lease():
            self.reconcile(machines)

    def reconcile(self, machines: list[ListedMachine]) -> None:
        """Adopt machines that are not known yet, and have those deleted that failed or are gone."""
        now = self._clock()
        listed_names = set()
        for listed in machines:
            listed_names.add(listed.name)
            if listed.name not in self._cluster.deleted_machines:
                self._observe(listed, now)
        for machine in list(self._cluster.machines.values()):
            if machine.was_listed and machine.name not in listed_names:
                self._observe_missing(machine, now)

    def forget(self, name: str) -> None:
        """Forget a machine that is gone."""
        self._missed_lists.pop(name, None)

    def _observe(self, listed: ListedMachine, now: timedelta) -> None:
        machine = self._cluster.machines.get(listed.name)
        if machine is None:
            machine = self._adopt(listed, now)
        machine.was_listed = True
        self._missed_lists.pop(listed.name, None)
        if listed.state == InstanceState.FAILED:
            # Its tasks may still run; only the response to its deletion proves that they ended.
            request_deletion(machine, DeletionReason.LISTED_AS_FAILED)

    def _observe_missing(self, machine: Machine, now: timedelta) -> None:
        missed = self._missed_lists[machine.name] = self._missed_lists.get(machine.name, 0) + 1
        silent = machine.last_heartbeat_at is None or now - machine.last_heartbeat_at > self._cloud.list_lag * 2
        if missed >= MAX_MISSED_LISTS and silent:
            request_deletion(machine, DeletionReason.NOT_LISTED)

    def _adopt(self, listed: ListedMachine, now: timedelta) -> Machine:
        """Add a machine that an earlier leader requested, or a request whose response was lost."""
        state = MachineState.BOOTING if listed.state == InstanceState.STARTING else MachineState.UNCONFIRMED
        machine = Machine(listed.name, InstanceKind(listed.machine_type, listed.zone, listed.spot), state, now)
        machine.first_seen_at = now - seconds(listed.age_s)
        self._catalog.add_machine(machine)
        log.info("adopting machine %s from the cloud's list", machine.name)
        return machine
