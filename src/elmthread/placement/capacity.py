"""The free capacity of a machine, as used by bin packing and preemption."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.machine import Machine
from elmthread.cluster.state import ClusterState

# States in which an allocation may still be waiting for its image.
_BEFORE_START = frozenset({AllocationState.PLANNED, AllocationState.COMMITTED, AllocationState.FETCHING})


@dataclass(slots=True)
class FreeCapacity:
    """The free capacity of one machine, reduced as tasks are placed."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    price_per_core: float = 0.0  # per hour
    image_fetch_gb_per_s: float = 1.0
    cached_images: Collection[str] = frozenset()
    # Images that the machine is fetching, or will fetch for tasks assigned to it.
    images_being_fetched: set[str] = field(default_factory=set)
    record_bytes_left: float = math.inf  # bytes by which the machine's record in the store may still grow
    draining: bool = False


def free_capacity(machine: Machine, cluster: ClusterState) -> FreeCapacity:
    """Return the free capacity of the machine."""
    return FreeCapacity(
        name=machine.name,
        machine_type=machine.machine_type,
        zone=machine.zone,
        spot=machine.spot,
        cpus=machine.free_cpus,
        gpus=machine.gpus - machine.gpus_used,
        memory_gb=machine.memory_gb - machine.memory_gb_used,
        price_per_core=machine.price_per_core,
        image_fetch_gb_per_s=machine.image_fetch_gb_per_s,
        cached_images=machine.cached_images,
        images_being_fetched={
            allocation.job.spec.image
            for allocation in machine.allocations.values()
            if allocation.state in _BEFORE_START and allocation.job.spec.image not in machine.cached_images
        },
        record_bytes_left=cluster.record_bytes_left(machine),
        draining=machine.draining,
    )
