"""Instance requests: durable before they are sent, and paused for instance kinds without capacity."""

import logging
from collections import deque
from datetime import timedelta
from functools import partial

import msgspec

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.machines.client import MAX_INSTANCES_PER_REQUEST, CloudClient, CloudError, NoCapacityError
from elmthread.reachability.zone_health import ZoneHealth
from elmthread.store.records import InstanceRequestRecord, instance_request_key
from elmthread.store.write_queue import WritePriority

log = logging.getLogger(__name__)

# After a refusal for lack of capacity, the same kind of instance is not requested for this long; the pause
# doubles with each consecutive refusal.
MIN_REFUSAL_PAUSE = seconds(40)
MAX_REFUSAL_PAUSE = seconds(160)
# A request whose outcome is unknown is retried until it is this old.
MAX_REQUEST_AGE = seconds(20)


class InstanceRequest(msgspec.Struct):
    """A request for machines of one kind, which count as pending until the cloud responds."""

    name: str
    kind: InstanceKind
    count: int
    for_deferrable_pool: bool
    requested_at: timedelta
    sent: bool = False


class Refusal(msgspec.Struct, frozen=True):
    """A refusal for lack of capacity, and the pause that follows it in requests for the same kind of instance."""

    paused_until: timedelta
    pause: timedelta


class Provisioner:
    """Requests machines from the cloud."""

    def __init__(
        self, context: TermContext, cloud: CloudClient, catalog: MachineTypeCatalog, zones: ZoneHealth
    ) -> None:
        """Create a provisioner that requests nothing in zones that are unreachable according to `zones`."""
        self._cluster = context.cluster
        self._term = context.term
        self._writer = context.writer
        self._events = context.events
        self._clock = context.clock
        self._cloud = cloud
        self._catalog = catalog
        self._zones = zones
        self._request_count = 0
        # Requests without a response yet, by name.
        self.requests: dict[str, InstanceRequest] = {}
        # Durable requests that are to be sent or retried.
        self._ready: deque[InstanceRequest] = deque()
        self._refusals: dict[InstanceKind, Refusal] = {}

    def request(self, kind: InstanceKind, count: int, for_deferrable_pool: bool) -> None:
        """Request machines of that kind, in as few calls as the cloud allows."""
        count -= self._add_to_unsent(kind, count, for_deferrable_pool)
        while count > 0:
            self._create(kind, min(count, MAX_INSTANCES_PER_REQUEST), for_deferrable_pool)
            count -= MAX_INSTANCES_PER_REQUEST

    def is_unavailable(self, kind: InstanceKind) -> bool:
        """Return whether requests for that kind are suspended: its zone is unreachable, or capacity was lacking."""
        if kind.zone in self._zones.unreachable or self._zones.is_own_link_suspect(kind.zone):
            return True
        refusal = self._refusals.get(kind)
        return refusal is not None and self._clock() < refusal.paused_until

    def clear_refusal(self, kind: InstanceKind) -> None:
        """End the pause for that kind, as a machine of it was deleted or a request fully met."""
        self._refusals.pop(kind, None)

    def has_ready_request(self) -> bool:
        """Return whether `take_ready_request` has one to send."""
        return bool(self._ready)

    def take_ready_request(self) -> InstanceRequest:
        """Remove and return the request to `send` next."""
        return self._ready.popleft()

    async def send(self, request: InstanceRequest) -> None:
        """Send the request, and add the machines that the cloud provisions."""
        if not self._term.holds_lease():
            return
        request.sent = True
        try:
            names = await self._cloud.request_instances(request.name, request.kind, request.count)
        except NoCapacityError:
            self._close(request)
            self._pause(request.kind)
            return
        except CloudError as error:
            log.info("instance request %s failed: %s", request.name, error)
            if self._clock() - request.requested_at < MAX_REQUEST_AGE:
                # A retry is safe: requests with the same name are executed at most once.
                self._ready.append(request)
            else:
                self._close(request)
            return
        self._add_machines(names, request)
        self._close(request)
        if len(names) < request.count:
            self._pause(request.kind)
        else:
            self.clear_refusal(request.kind)

    def _add_to_unsent(self, kind: InstanceKind, count: int, for_deferrable_pool: bool) -> int:
        """Add instances to requests that have not been sent yet, to save calls; return how many were added."""
        added = 0
        for request in self._ready:
            if request.kind == kind and request.for_deferrable_pool == for_deferrable_pool and not request.sent:
                more = min(count - added, MAX_INSTANCES_PER_REQUEST - request.count)
                request.count += more
                added += more
        return added

    def _create(self, kind: InstanceKind, count: int, for_deferrable_pool: bool) -> None:
        """Create a request, whose name is never reused, and make it durable before it is sent."""
        self._request_count += 1
        name = f"r-{self._term.fencing_token}-{self._request_count}"
        request = InstanceRequest(name, kind, count, for_deferrable_pool, self._clock())
        self.requests[name] = request
        record = InstanceRequestRecord(kind.machine_type, kind.zone, kind.spot, for_deferrable_pool)
        log.info("requesting %s instances of %s", count, kind)
        self._writer.write(
            instance_request_key(name), WritePriority.ASSIGNMENT, lambda: record, partial(self._ready.append, request)
        )

    def _add_machines(self, names: list[str], request: InstanceRequest) -> None:
        now = self._clock()
        for name in names:
            if name in self._cluster.deleted_machines:
                continue
            machine = self._cluster.machines.get(name)
            if machine is None:
                machine = Machine(name, request.kind, MachineState.BOOTING, now)
                self._catalog.add_machine(machine)
            machine.in_deferrable_pool = request.for_deferrable_pool

    def _pause(self, kind: InstanceKind) -> None:
        """Pause requests for that kind, and trigger autoscaling so that other kinds are requested at once."""
        refusal = self._refusals.get(kind)
        pause = MIN_REFUSAL_PAUSE if refusal is None else min(refusal.pause * 2, MAX_REFUSAL_PAUSE)
        log.info("the cloud has no capacity for %s; none are requested for %.0f s", kind, pause.total_seconds())
        self._refusals[kind] = Refusal(self._clock() + pause, pause)
        # Unsent requests for the same kind would be refused as well.
        for request in [request for request in self._ready if request.kind == kind and not request.sent]:
            self._ready.remove(request)
            self._close(request)
        self._events.notify_capacity_short()

    def _close(self, request: InstanceRequest) -> None:
        self.requests.pop(request.name, None)
        self._writer.delete(instance_request_key(request.name))
        self._events.notify_changed()
