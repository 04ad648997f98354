"""Catalog of the machine types that the cloud offers; sets the size and price of each machine by its type."""

from collections.abc import Iterable

from elmthread.cluster.events import ClusterEvents
from elmthread.cluster.machine import Machine
from elmthread.cluster.state import ClusterState
from elmthread.store.machine_type import MachineType

# Lower bound of a type's image fetch rate, as placement divides image sizes by it.
MIN_FETCH_GB_PER_S = 0.001


class MachineTypeCatalog:
    """All machine types by name; empty until they are loaded from the store or listed by the cloud."""

    def __init__(self, cluster: ClusterState, events: ClusterEvents) -> None:
        """Keep the sizes and prices of the machines in `cluster` consistent with their types."""
        self._cluster = cluster
        self._events = events
        self.types: dict[str, MachineType] = {}

    @property
    def is_known(self) -> bool:
        """Whether any type is known."""
        return bool(self.types)

    def replace(self, types: Iterable[MachineType]) -> None:
        """Replace all types, and apply them to the machines."""
        self.types = {machine_type.name: machine_type for machine_type in types}
        for machine in self._cluster.machines.values():
            self._apply_to(machine)
        self._events.notify_changed()

    def add_machine(self, machine: Machine) -> None:
        """Add a machine to the cluster, with the size and price of its type."""
        self._apply_to(machine)
        self._cluster.add_machine(machine)

    def _apply_to(self, machine: Machine) -> None:
        """Set the machine's size, image fetch rate and price (per hour) by its type, if that is known."""
        machine_type = self.types.get(machine.machine_type)
        if machine_type is None:
            return
        machine.cpus, machine.gpus, machine.memory_gb = machine_type.cpus, machine_type.gpus, machine_type.memory_gb
        machine.image_fetch_gb_per_s = max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
        machine.price_per_hour = machine_type.spot_price if machine.spot else machine_type.price
