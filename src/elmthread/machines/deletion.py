"""Deletes machines whose deletion was requested.

The cloud's response to a deletion proves that the machine and all tasks on it are gone. So a machine whose
state is unknown is deleted, and its allocations are kept until the deletion is confirmed.
"""

import logging

from elmthread.cluster.machine import MachineState
from elmthread.leadership.context import TermContext
from elmthread.machines.client import MAX_DELETIONS_PER_CALL, CloudClient, CloudError, NoCapacityError
from elmthread.machines.inventory import Inventory
from elmthread.machines.provisioning import Provisioner
from elmthread.store.records import machine_key

log = logging.getLogger(__name__)


class Deleter:
    """Deletes the machines whose deletion was requested, in batches."""

    def __init__(
        self, context: TermContext, cloud: CloudClient, provisioner: Provisioner, inventory: Inventory
    ) -> None:
        """Create a deleter that notifies `provisioner` and `inventory` of deleted machines."""
        self._cluster = context.cluster
        self._writer = context.writer
        self._events = context.events
        self._clock = context.clock
        self._cloud = cloud
        self._provisioner = provisioner
        self._inventory = inventory
        self._in_progress: set[str] = set()

    def next_batch(self) -> list[str]:
        """Return the names of the machines to delete with the next call."""
        return [
            machine.name
            for machine in self._cluster.machines.values()
            if machine.state is MachineState.DELETING and machine.name not in self._in_progress
        ][:MAX_DELETIONS_PER_CALL]

    def mark_in_progress(self, names: list[str]) -> None:
        """Exclude the machines from further batches while the call that deletes them is in progress."""
        self._in_progress.update(names)

    async def delete(self, names: list[str]) -> None:
        """Delete the machines; if the call fails, the next batch includes them again."""
        try:
            await self._cloud.delete(names)
        except (CloudError, NoCapacityError) as error:
            log.info("deletion of %s machines failed: %s", len(names), error)
            return
        finally:
            self._in_progress.difference_update(names)
        now = self._clock()
        for name in names:
            machine = self._cluster.machines.get(name)
            if machine is None:
                continue
            machine.transition_to(MachineState.DELETED)
            self._cluster.remove_machine(machine, now)
            self._provisioner.clear_refusal(machine.kind)
            self._inventory.forget(name)
            self._writer.delete(machine_key(name))
        self._events.notify_changed()
