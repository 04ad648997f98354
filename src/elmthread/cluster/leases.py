"""The workers' leases: when a machine that can't be reached has surely ended its tasks."""

from datetime import timedelta

from elmthread.cluster.machine import Machine, MachineState
from elmthread.common.clock import at_least, seconds

# Allowed for a worker to end its tasks once its lease has expired.
STOP_TIME = seconds(0.5)


class WorkerLeases:
    """Lease times of all machines, as this leader and every earlier one may have renewed them."""

    def __init__(self, duration: timedelta, unconfirmed_until: timedelta) -> None:
        """Take `unconfirmed_until` as the time until which a machine may run what an earlier leader started."""
        self.duration = duration
        self._unconfirmed_until = unconfirmed_until

    def expires_by(self, machine: Machine) -> timedelta:
        """Return when the machine's lease has surely expired, if no response reaches it from now on.

        An earlier leader may have answered it for as long as its own lease could hold, so a machine that
        has sent no heartbeat to this leader is counted from there.
        """
        if machine.last_response_at is None:
            return self._unconfirmed_until
        until = machine.last_response_at + at_least(self.duration) + STOP_TIME
        return max(until, self._unconfirmed_until) if machine.state is MachineState.UNCONFIRMED else until

    def silence(self, machine: Machine, now: timedelta) -> timedelta:
        """Return how long ago the last heartbeat came; without one, since this leader could receive one."""
        last = machine.last_heartbeat_at
        if last is None:
            last = self._unconfirmed_until - self.duration
        return now - last
