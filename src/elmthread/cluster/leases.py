"""The workers' leases: when a machine that is not reached has surely ended its tasks."""

from datetime import timedelta

from elmthread.cluster.machine import Machine, MachineState
from elmthread.common.clock import at_least, seconds


class WorkerLeases:
    """Lease times of all machines, as this leader and every earlier one can have renewed them."""

    def __init__(self, duration: timedelta, unconfirmed_until: timedelta) -> None:
        """`unconfirmed_until`: until then a machine may keep what an earlier leader gave it."""
        self.duration = duration
        self._unconfirmed_until = unconfirmed_until

    def expires_by(self, machine: Machine) -> timedelta:
        """Return when the machine's lease has surely expired, if no response reaches it from now on.

        An earlier leader may have answered it for as long as its lease could be uncertain, so a
        machine that has not reported to this leader is counted from there.
        """
        if machine.last_response_at is None:
            return self._unconfirmed_until
        until = machine.last_response_at + at_least(self.duration) + seconds(0.5)
        return max(until, self._unconfirmed_until) if machine.state is MachineState.UNCONFIRMED else until

    def silence(self, machine: Machine, now: timedelta) -> timedelta:
        """Return how long the machine has been silent, at the longest from when this leader could hear it."""
        last = machine.last_heartbeat_at
        if last is None:
            last = self._unconfirmed_until - self.duration
        return now - last
