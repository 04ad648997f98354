"""The kinds of instances that the cloud offers, and the pending instance requests."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Protocol

import msgspec

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.machine import InstanceKind, Machine
from elmthread.cluster.machine_deletion import DeletionReason
from elmthread.placement.bin_packing import is_allowed
from elmthread.placement.requests import TaskRequest
from elmthread.store.machine_type import MachineType

# Ratio of actual boot times to those stated by the cloud.
BOOT_TIME_FACTOR = 1.2
# Instances whose price per core is above this many times the lowest are requested only if no others are available.
EXPENSIVE_PRICE_RATIO = 1.6
# Maximum number of instances that one scale-out decision requests; a round may make several such decisions.
MAX_INSTANCES_PER_DECISION = 500


class PendingRequest(Protocol):
    """An instance request without a response yet."""

    @property
    def name(self) -> str:
        """The unique name of the request."""

    @property
    def kind(self) -> InstanceKind:
        """The requested kind of instance."""

    @property
    def count(self) -> int:
        """The number of requested instances."""

    @property
    def for_deferrable_pool(self) -> bool:
        """Whether the machines will be part of the deferrable pool."""


class MachineControl(Protocol):
    """Executes the decisions of the autoscaler."""

    @property
    def catalog(self) -> MachineTypeCatalog:
        """The machine types that the cloud offers."""

    @property
    def instance_requests(self) -> Mapping[str, PendingRequest]:
        """All requests without a response yet, by name."""

    def is_unavailable(self, kind: InstanceKind, /) -> bool:
        """Return whether machines of the kind can't be requested now."""

    def request_instances(self, kind: InstanceKind, count: int, for_deferrable_pool: bool, /) -> None:
        """Request `count` machines from the cloud."""

    def delete_machine(self, machine: Machine, reason: DeletionReason, /) -> None:
        """Delete the machine."""


class InstanceOffer(msgspec.Struct, frozen=True):
    """A kind of instance that can be requested, at most `max_count` times at once."""

    machine_type: str
    zone: str
    spot: bool
    cores: float
    price_per_hour: float
    boot_s: float
    max_count: int = 50
    gpus: float = 0.0
    memory_gb: float = math.inf

    def is_expensive(self, lowest_price_per_core: float) -> bool:
        """Return whether the price per core and hour is above EXPENSIVE_PRICE_RATIO times the lowest one."""
        return self.price_per_hour > EXPENSIVE_PRICE_RATIO * lowest_price_per_core * self.cores


class InstanceOffers:
    """Lists the offers of the cloud, and requests instances."""

    def __init__(self, machines: MachineControl) -> None:
        """Send requests through `machines`."""
        self._machines = machines
        self._catalog = machines.catalog

    def for_requests(self, waiting: Sequence[TaskRequest]) -> list[InstanceOffer]:
        """Return the kinds that are available now and on which a task of any of the requests fits."""
        offers = []
        for machine_type in self._catalog.types.values():
            for zone in machine_type.zones:
                for spot in (True, False):
                    if self._machines.is_unavailable(InstanceKind(machine_type.name, zone, spot)):
                        continue
                    if any(_fits_empty(request, machine_type, zone, spot) for request in waiting):
                        offers.append(_offer(machine_type, zone, spot))
        return offers

    def without_expensive(self, offers: Sequence[InstanceOffer]) -> list[InstanceOffer]:
        """Return the offers that are not expensive compared with the cheapest kind, which may be unavailable."""
        lowest_price_per_core = min(
            machine_type.spot_price / machine_type.cpus
            for machine_type in self._catalog.types.values()
            if machine_type.cpus
        )
        return [offer for offer in offers if not offer.is_expensive(lowest_price_per_core)]

    def request(self, chosen: Sequence[InstanceOffer], for_deferrable_pool: bool) -> None:
        """Request one instance for each of the offers."""
        for kind, count in Counter(
            InstanceKind(offer.machine_type, offer.zone, offer.spot) for offer in chosen
        ).items():
            self._machines.request_instances(kind, count, for_deferrable_pool)

    def pending(self) -> Iterator[tuple[PendingRequest, MachineType]]:
        """Yield the requests without a response yet whose machine type is known, with that type."""
        for request in self._machines.instance_requests.values():
            machine_type = self._catalog.types.get(request.kind.machine_type)
            if machine_type is not None:
                yield request, machine_type


def _fits_empty(request: TaskRequest, machine_type: MachineType, zone: str, spot: bool) -> bool:
    return (
        is_allowed(request, machine_type.name, zone, spot)
        and request.cpus <= machine_type.cpus
        and request.gpus <= machine_type.gpus
        and request.memory_gb <= machine_type.memory_gb
    )


def _offer(machine_type: MachineType, zone: str, spot: bool) -> InstanceOffer:
    return InstanceOffer(
        machine_type.name,
        zone,
        spot,
        machine_type.cpus,
        machine_type.spot_price if spot else machine_type.price,
        machine_type.boot_s * BOOT_TIME_FACTOR,
        gpus=machine_type.gpus,
        memory_gb=machine_type.memory_gb,
    )
