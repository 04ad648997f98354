"""Idle times: how long empty machines are kept before they are deleted."""

from datetime import timedelta

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.machine import Machine
from elmthread.common.clock import seconds

MIN_IDLE_TIME = seconds(10)


def boot_idle_time(machine: Machine, catalog: MachineTypeCatalog) -> timedelta:
    """Return how long to keep an empty machine that may be needed again soon: the boot time, at least MIN_IDLE_TIME."""
    machine_type = catalog.types.get(machine.machine_type)
    return max(MIN_IDLE_TIME, seconds(machine_type.boot_s)) if machine_type is not None else MIN_IDLE_TIME
