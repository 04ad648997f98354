"""The autoscaling round, which scales the machines by two pressures (see docs/design.md).

The urgent pressure is the share that urgent work needs of the cores outside the deferrable pool; it is kept in
a band. The deferrable pressure is the number of groups of deferrable tasks that would miss their deadline; it is
reduced to 0 with the fewest machines.
"""

from elmthread.autoscaling.context import RoundView, ScalingContext
from elmthread.autoscaling.deferrable_pool import DeferrablePool
from elmthread.autoscaling.deferrable_scaling import DeferrableScaling
from elmthread.autoscaling.draining import Draining
from elmthread.autoscaling.instance_offers import InstanceOffers, MachineControl
from elmthread.autoscaling.service_scaling import ServiceScaling
from elmthread.autoscaling.urgent_band import UrgentBand
from elmthread.cluster.machine import InstanceKind, Machine
from elmthread.cluster.run_times import RunTimeModel
from elmthread.leadership.context import TermContext
from elmthread.placement.scheduler import Scheduler
from elmthread.settings.operators import OperatorSettings


class Autoscaler:
    """Requests machines for work that lacks room, and deletes those that no work needs."""

    def __init__(
        self,
        context: TermContext,
        machines: MachineControl,
        scheduler: Scheduler,
        run_times: RunTimeModel,
        operators: OperatorSettings,
    ) -> None:
        """Execute decisions through `machines`, and take the waiting requests and the quotas from `scheduler`."""
        self._cluster = context.cluster
        self._clock = context.clock
        self._catalog = machines.catalog
        self._scheduler = scheduler
        scaling = ScalingContext(context.cluster, machines, InstanceOffers(machines), scheduler, operators)
        self._services = ServiceScaling(scaling)
        self._deferrable_pool = DeferrablePool(scaling)
        self._deferrable = DeferrableScaling(scaling, run_times)
        self._urgent_band = UrgentBand(scaling)
        self._draining = Draining(scaling)

    def run_round(self) -> None:
        """Evaluate both pressures, and scale out or in."""
        if not self._catalog.types:
            return
        view = self._view()
        self._services.run(view)
        self._deferrable_pool.scale_in(view)
        self._deferrable.run(view)
        urgent_cores = self._urgent_band.urgent_cores(view)
        self._urgent_band.run(view, urgent_cores, self._services.has_services)
        self._draining.run(view, urgent_cores, self._urgent_band.min_share)

    def _view(self) -> RoundView:
        now = self._clock()
        machines_by_kind: dict[InstanceKind, list[Machine]] = {}
        for machine in self._cluster.machines.values():
            if machine.provides_capacity(now):
                machines_by_kind.setdefault(machine.kind, []).append(machine)
        return RoundView(now, self._scheduler.requests(now), self._scheduler.remaining_quotas(), machines_by_kind)
