"""The deferrable pool: machines requested for deferrable tasks that would be late, deleted once they are idle."""

from elmthread.autoscaling.context import RoundView, ScalingContext
from elmthread.autoscaling.idle_time import MIN_IDLE_TIME, boot_idle_time
from elmthread.cluster.machine import MachineState
from elmthread.cluster.machine_deletion import DeletionReason


class DeferrablePool:
    """Scales in the deferrable pool."""

    def __init__(self, context: ScalingContext) -> None:
        """Use the dependencies of the autoscaler."""
        self._cluster = context.cluster
        self._machines = context.machines

    def scale_in(self, view: RoundView) -> None:
        """Delete all machines of an idle pool, and those of a busy pool that stay empty for longer than a boot takes.

        Deleting machines of a busy pool deviates from the Chiron paper's design; otherwise, a single long
        task would keep the whole pool running.
        """
        pool = [m for m in self._cluster.machines.values() if m.in_deferrable_pool and m.state is MachineState.UP]
        is_idle = all(request.urgent for request in view.requests) and all(not m.allocations for m in pool)
        for machine in pool:
            max_idle_time = MIN_IDLE_TIME if is_idle else boot_idle_time(machine, self._machines.catalog)
            if (
                not machine.allocations
                and not machine.zone_unreachable
                and not machine.reserved
                and view.now - machine.idle_since > max_idle_time
            ):
                self._machines.delete_machine(machine, DeletionReason.IDLE_IN_POOL)
