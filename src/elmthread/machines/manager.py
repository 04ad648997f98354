"""The loop that starts all calls to the cloud, and the interface for requesting and deleting machines."""

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import InstanceKind, Machine
from elmthread.cluster.machine_deletion import DeletionReason, request_deletion
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.machines.client import CloudClient
from elmthread.machines.deletion import Deleter
from elmthread.machines.failure_detection import FailureDetector
from elmthread.machines.inventory import Inventory
from elmthread.machines.machine_type_updater import MachineTypeUpdater
from elmthread.machines.provisioning import InstanceRequest, Provisioner
from elmthread.reachability.zone_health import ZoneHealth

log = logging.getLogger(__name__)

PASS_INTERVAL = seconds(0.2)
FAILURE_CHECK_INTERVAL = seconds(0.5)
# After the process was suspended for this long, heartbeats that arrived meanwhile are still unread. They are
# handled for CATCH_UP_TIME before machines are checked for missing heartbeats.
PROCESS_STALL_THRESHOLD = seconds(1.5)
CATCH_UP_TIME = seconds(1)
TYPES_REFRESH_INTERVAL = seconds(60)
# The interval while no machine type is known; no task can be placed until then.
TYPES_RETRY_INTERVAL = seconds(2)


class MachineManager:
    """Runs failure detection, and starts calls to the cloud within its rate limit, the most urgent first."""

    def __init__(
        self,
        context: TermContext,
        cloud: CloudClient,
        catalog: MachineTypeCatalog,
        leases: WorkerLeases,
        zones: ZoneHealth,
    ) -> None:
        """Create a manager that keeps machines longer in zones that are unreachable according to `zones`."""
        self._clock = context.clock
        self._term = context.term
        self._rate_limit = cloud.rate_limit
        self.catalog = catalog
        self.inventory = Inventory(context, cloud, catalog)
        self.failure_detector = FailureDetector(context, catalog, leases, zones, cloud.list_lag)
        self._provisioner = Provisioner(context, cloud, catalog, zones)
        self._deleter = Deleter(context, cloud, self._provisioner, self.inventory)
        self._type_updater = MachineTypeUpdater(context, cloud, catalog)
        self._list_read_at: timedelta | None = None
        self._failures_checked_at: timedelta | None = None
        self._types_read_at: timedelta | None = None
        self._calls: set[asyncio.Task[None]] = set()

    @property
    def instance_requests(self) -> dict[str, InstanceRequest]:
        """All requests without a response yet, by name."""
        return self._provisioner.requests

    def request_instances(self, kind: InstanceKind, count: int, for_deferrable_pool: bool) -> None:
        """Request `count` instances of that kind."""
        self._provisioner.request(kind, count, for_deferrable_pool)

    def is_unavailable(self, kind: InstanceKind) -> bool:
        """Return whether requests for that kind are suspended now."""
        return self._provisioner.is_unavailable(kind)

    def delete_machine(self, machine: Machine, reason: DeletionReason) -> None:
        """Request the deletion of the machine."""
        request_deletion(machine, reason)

    async def run(self) -> None:
        """Check the machines and start calls to the cloud until cancelled."""
        last_pass_at = self._clock()
        while True:
            now = self._clock()
            if now - last_pass_at > PROCESS_STALL_THRESHOLD:
                log.info("the process was suspended for %.1f s", (now - last_pass_at).total_seconds())
                self._failures_checked_at = now + CATCH_UP_TIME
            last_pass_at = now
            if self._term.holds_lease():
                if self._is_due(self._failures_checked_at, FAILURE_CHECK_INTERVAL):
                    self._failures_checked_at = self._clock()
                    self.failure_detector.check()
                self._start_calls()
            await asyncio.sleep(PASS_INTERVAL.total_seconds())

    def stop(self) -> None:
        """Cancel the pending calls to the cloud."""
        for call in list(self._calls):
            call.cancel()

    def _start_calls(self) -> None:
        now = self._clock()
        rate_limit = self._rate_limit
        deletions = self._deleter.next_batch()
        types_known = self.catalog.is_known
        if not types_known and self._is_due(self._types_read_at, TYPES_RETRY_INTERVAL) and rate_limit.take():
            self._types_read_at = now
            self._start(self._type_updater.update())
        if deletions and rate_limit.take():
            self._deleter.mark_in_progress(deletions)
            self._start(self._deleter.delete(deletions))
        # Before instance requests, as these could otherwise use up the rate limit.
        if self._is_due(self._list_read_at, self.inventory.refresh_interval()) and rate_limit.take():
            self._list_read_at = now
            self._start(self.inventory.refresh())
        while self._provisioner.has_ready_request() and rate_limit.take():
            self._start(self._provisioner.send(self._provisioner.take_ready_request()))
        if types_known and self._is_due(self._types_read_at, TYPES_REFRESH_INTERVAL) and rate_limit.take(1, 1):
            self._types_read_at = now
            self._start(self._type_updater.update())

    def _is_due(self, last: timedelta | None, interval: timedelta) -> bool:
        return last is None or self._clock() - last >= interval

    def _start(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
