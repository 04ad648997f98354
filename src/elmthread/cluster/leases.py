"""Worker leases: the time by which an unreachable machine is guaranteed to have ended its tasks."""

from datetime import timedelta

from elmthread.cluster.machine import Machine, MachineState
from elmthread.common.clock import extend_for_drift, seconds

# Time allowed for a worker to end its tasks after its lease has expired.
STOP_TIME = seconds(0.5)


class WorkerLeases:
    """Computes when worker leases expire, assuming every renewal that this or an earlier leader may have sent."""

    def __init__(self, duration: timedelta, unconfirmed_until: timedelta) -> None:
        """Take `unconfirmed_until` as the time until which a machine may run what an earlier leader started."""
        self.duration = duration
        self._unconfirmed_until = unconfirmed_until

    def expires_by(self, machine: Machine) -> timedelta:
        """Return the latest time at which the machine's lease can expire, if no response reaches it from now on.

        An earlier leader may have renewed it until that leader's own lease ended. For a machine that is not
        confirmed to be up in this term, the worker lease is counted from that time on.
        """
        if machine.last_response_at is None:
            return self._unconfirmed_until
        until = machine.last_response_at + extend_for_drift(self.duration) + STOP_TIME
        return max(until, self._unconfirmed_until) if machine.state is MachineState.UNCONFIRMED else until

    def time_since_heartbeat(self, machine: Machine, now: timedelta) -> timedelta:
        """Return the time since the machine's last heartbeat, or since this leader could first receive one."""
        last = machine.last_heartbeat_at
        if last is None:
            last = self._unconfirmed_until - self.duration
        return now - last
