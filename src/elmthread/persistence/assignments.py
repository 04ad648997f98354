"""Makes assignments durable, and lets heartbeat handlers wait for that."""

import asyncio
from datetime import timedelta
from functools import partial

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.machine import Machine
from elmthread.leadership.context import TermContext
from elmthread.persistence.records import machine_record
from elmthread.store.records import machine_key
from elmthread.store.write_queue import WritePriority


class AssignmentRecorder:
    """Makes planned allocations durable; only then may their starts be sent."""

    def __init__(self, context: TermContext) -> None:
        """Record the assignments of the term of `context`."""
        self._writer = context.writer
        self._features = context.features
        # By name of a machine for which a heartbeat handler waits: the event is set once new assignments are durable.
        self._durable_events: dict[str, asyncio.Event] = {}

    def record_assignments(self, machine: Machine) -> None:
        """Make the machine's new allocations durable; after that, their starts may be sent."""
        planned = [
            allocation for allocation in machine.allocations.values() if allocation.state is AllocationState.PLANNED
        ]
        self._writer.write(
            machine_key(machine.name),
            WritePriority.ASSIGNMENT,
            partial(machine_record, machine, self._features),
            partial(self._mark_committed, machine, planned),
        )

    async def wait_until_durable(self, machine: Machine, timeout: timedelta) -> None:
        """Wait until assignments of the machine have become durable, or until `timeout` has passed."""
        event = self._durable_events.setdefault(machine.name, asyncio.Event())
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            if self._durable_events.get(machine.name) is event:
                del self._durable_events[machine.name]

    def _mark_committed(self, machine: Machine, planned: list[Allocation]) -> None:
        """Mark the allocations for which the write was queued as committed; newer ones follow with a later call."""
        for allocation in planned:
            if (
                allocation.state is AllocationState.PLANNED
                and machine.allocations.get(allocation.attempt) is allocation
            ):
                allocation.transition_to(AllocationState.COMMITTED)
        event = self._durable_events.get(machine.name)
        if event is not None:
            event.set()
