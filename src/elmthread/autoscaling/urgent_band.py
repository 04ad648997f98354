"""The urgent pressure: keeps the share of urgent cores in a band (Chiron paper, sections 5.1 and 5.2).

Theta is the center of the band: at first the operators' setting, then the mean-to-peak ratio of recent urgent
demand, limited to the range from that setting to MAX_THETA. Delta, also a setting, is half the width of the band.
"""

from collections import deque
from collections.abc import Sequence
from datetime import timedelta
from enum import Enum, auto

from elmthread.autoscaling.context import RoundView, ScalingContext
from elmthread.autoscaling.idle_time import MIN_IDLE_TIME, boot_idle_time
from elmthread.autoscaling.instance_offers import MAX_INSTANCES_PER_DECISION
from elmthread.autoscaling.instance_selection import cover_shortfall
from elmthread.cluster.machine import Machine, MachineState
from elmthread.cluster.machine_deletion import DeletionReason
from elmthread.common.clock import seconds

# Window of urgent demand from which theta is computed, and the minimum history for doing so.
DEMAND_WINDOW = seconds(300)
MIN_DEMAND_HISTORY = seconds(60)
MAX_THETA = 0.9
# Lower limit of `UrgentBand.min_share`, the lower end of the band of the urgent share, for any theta and delta.
MIN_URGENT_SHARE = 0.05


class BandDecision(Enum):
    """How to bring the urgent share into the band, or keep it there."""

    SCALE_OUT = auto()
    KEEP = auto()
    SCALE_IN = auto()


def band_decision(urgent_cores: float, cores: float, theta: float, delta: float) -> BandDecision:
    """Return the decision that keeps the share of urgent cores within theta plus or minus delta."""
    if cores <= 0:
        return BandDecision.SCALE_OUT if urgent_cores > 0 else BandDecision.KEEP
    share = urgent_cores / cores
    if share > theta + delta:
        return BandDecision.SCALE_OUT
    if share < theta - delta:
        return BandDecision.SCALE_IN
    return BandDecision.KEEP


class UrgentBand:
    """Keeps the urgent share of the cores outside the deferrable pool in the band."""

    def __init__(self, context: ScalingContext) -> None:
        """Start with the operators' value of theta."""
        self.theta = context.operators.target_urgent_share
        self._cluster = context.cluster
        self._machines = context.machines
        self._offers = context.offers
        self._delta = context.operators.urgent_share_tolerance
        self._min_theta = context.operators.target_urgent_share
        self._demand: deque[tuple[timedelta, float]] = deque()

    @property
    def min_share(self) -> float:
        """The lower end of the band."""
        return max(self.theta - self._delta, MIN_URGENT_SHARE)

    def urgent_cores(self, view: RoundView) -> float:
        """Return the urgent cores: those allocated, and those that waiting tasks could use within the quotas."""
        allocated = sum(machine.urgent_cpus for machine in self._cluster.machines.values())
        return allocated + view.usable_cores(request for request in view.requests if request.urgent)

    def run(self, view: RoundView, urgent_cores: float, has_services: bool) -> None:
        """Scale out or in if the urgent share is outside the band."""
        self._update_theta(urgent_cores, view.now)
        machines = [
            m
            for m in self._cluster.machines.values()
            if not m.in_deferrable_pool
            and not m.zone_unreachable
            and m.state in (MachineState.UP, MachineState.BOOTING, MachineState.UNCONFIRMED)
        ]
        cores = sum(m.cpus for m in machines)
        for pending, machine_type in self._offers.pending():
            if not pending.for_deferrable_pool:
                cores += machine_type.cpus * pending.count
        match band_decision(urgent_cores, cores, self.theta, self._delta):
            case BandDecision.SCALE_OUT:
                self._scale_out(view, urgent_cores, cores)
            case BandDecision.SCALE_IN:
                unneeded = [m for m in machines if self._is_unneeded(m, view.now, has_services)]
                self._scale_in(unneeded, urgent_cores, cores)
            case BandDecision.KEEP:
                pass

    def _update_theta(self, urgent_cores: float, now: timedelta) -> None:
        """Update theta to the mean-to-peak ratio of the urgent demand in the window, within its limits."""
        self._demand.append((now, urgent_cores))
        while self._demand[0][0] < now - DEMAND_WINDOW:
            self._demand.popleft()
        peak = max(demand for _, demand in self._demand)
        if peak > 0 and now - self._demand[0][0] > MIN_DEMAND_HISTORY:
            mean = sum(demand for _, demand in self._demand) / len(self._demand)
            self.theta = min(max(mean / peak, self._min_theta), MAX_THETA)

    def _scale_out(self, view: RoundView, urgent_cores: float, cores: float) -> None:
        """Request the fewest instances that bring the share back to theta.

        If only expensive kinds are available, no more cores are requested than urgent work needs, as it can
        preempt deferrable tasks.
        """
        offers = self._offers.for_requests([request for request in view.requests if request.urgent] or view.requests)
        inexpensive = self._offers.without_expensive(offers)
        shortfall = urgent_cores / (self.theta if inexpensive else 1.0) - cores
        chosen = cover_shortfall(inexpensive or offers, shortfall, MAX_INSTANCES_PER_DECISION)
        self._offers.request(chosen, for_deferrable_pool=False)

    def _scale_in(self, unneeded: Sequence[Machine], urgent_cores: float, cores: float) -> None:
        """Delete machines, the most expensive first, as long as the share does not rise above the band."""
        max_share = self.theta + self._delta
        for machine in sorted(unneeded, key=lambda m: -m.price_per_core):
            if urgent_cores <= max_share * (cores - machine.cpus):
                cores -= machine.cpus
                self._machines.delete_machine(machine, DeletionReason.NOT_NEEDED)

    def _is_unneeded(self, machine: Machine, now: timedelta, has_services: bool) -> bool:
        """Return whether the machine has been empty for long enough to be deleted.

        While services run, an on-demand machine is kept for as long as another one would take to boot, as services
        may be unable to use any other kind.
        """
        if not machine.is_schedulable or not machine.draining or machine.allocations:
            return False
        is_kept_longer = has_services and not machine.spot
        max_idle_time = boot_idle_time(machine, self._machines.catalog) if is_kept_longer else MIN_IDLE_TIME
        return now - machine.idle_since > max_idle_time
