"""Reconciliation of the known machines with the cloud's list.

The list is eventually consistent and can be older than the previous one, so a machine missing from it may still
exist. A machine that is missing from several lists and sends no heartbeats is deleted explicitly.
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

# A machine missing from this many consecutive lists is deleted if it sends no heartbeats either.
MAX_MISSED_LISTS = 3
# At most one in this many calls within the cloud's rate limit reads the list.
CALLS_PER_LIST_CALL = 3


class Inventory:
    """Reconciles the cluster's machines with the cloud's list."""

    def __init__(self, context: TermContext, cloud: CloudClient, catalog: MachineTypeCatalog) -> None:
        """Create an inventory that takes the sizes of adopted machines from `catalog`."""
        self._cluster = context.cluster
        self._term = context.term
        self._clock = context.clock
        self._cloud = cloud
        self._catalog = catalog
        # By machine name: the number of consecutive lists that the machine was missing from.
        self._missed_lists: dict[str, int] = {}

    def refresh_interval(self) -> timedelta:
        """Return the interval between reads of the list, given its lag and the cloud's rate limit."""
        pages = 1 + len(self._cluster.machines) // MAX_MACHINES_PER_PAGE
        return max(self._cloud.list_lag / 2, seconds(CALLS_PER_LIST_CALL * pages / self._cloud.rate_limit.rate))

    async def refresh(self) -> None:
        """Read all pages of the list and reconcile with it; the caller has taken its first rate-limit token."""
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
        """Adopt unknown machines, and request the deletion of failed and missing ones."""
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
        """Drop the count of consecutive lists that a deleted machine was missing from."""
        self._missed_lists.pop(name, None)

    def _observe(self, listed: ListedMachine, now: timedelta) -> None:
        machine = self._cluster.machines.get(listed.name)
        if machine is None:
            machine = self._adopt(listed, now)
        machine.was_listed = True
        self._missed_lists.pop(listed.name, None)
        if listed.state == InstanceState.FAILED:
            # Its tasks may still run; only the response to its deletion proves that they have ended.
            request_deletion(machine, DeletionReason.LISTED_AS_FAILED)

    def _observe_missing(self, machine: Machine, now: timedelta) -> None:
        missed = self._missed_lists[machine.name] = self._missed_lists.get(machine.name, 0) + 1
        silent = machine.last_heartbeat_at is None or now - machine.last_heartbeat_at > self._cloud.list_lag * 2
        if missed >= MAX_MISSED_LISTS and silent:
            request_deletion(machine, DeletionReason.NOT_LISTED)

    def _adopt(self, listed: ListedMachine, now: timedelta) -> Machine:
        """Add a machine that was requested by an earlier leader, or by a request whose response was lost."""
        state = MachineState.BOOTING if listed.state == InstanceState.STARTING else MachineState.UNCONFIRMED
        machine = Machine(listed.name, InstanceKind(listed.machine_type, listed.zone, listed.spot), state, now)
        machine.first_seen_at = now - seconds(listed.age_s)
        self._catalog.add_machine(machine)
        log.info("adopting machine %s from the cloud's list", machine.name)
        return machine
