"""Requests for the deletion of machines, and the reasons for them."""

import logging
from enum import StrEnum

from elmthread.cluster.machine import Machine, MachineState

log = logging.getLogger(__name__)


class DeletionReason(StrEnum):
    """Why a machine is deleted; the values are for the log."""

    NO_HEARTBEATS = "no heartbeats"
    REPLICAS_TO_RESTART = "no heartbeats, and its replicas are to be restarted"
    RESPONSES_LOST = "does not receive responses"
    QUARANTINED = "quarantined after task failures"
    BOOT_TIMEOUT = "did not boot in time"
    INTERRUPTED = "about to be interrupted by the cloud"
    NOT_LISTED = "no longer listed by the cloud"
    LISTED_AS_FAILED = "listed as failed by the cloud"
    IDLE_IN_POOL = "idle in the deferrable pool"
    NOT_NEEDED = "not needed"


def request_deletion(machine: Machine, reason: DeletionReason) -> None:
    """Request the deletion of the machine, unless it has been requested already."""
    if machine.state in (MachineState.DELETING, MachineState.DELETED):
        return
    log.info("deleting machine %s: %s", machine.name, reason)
    machine.transition_to(MachineState.DELETING)
