"""What wakes the leader's loops: changes that decisions may act on, and shortages of machines."""

import asyncio

# Passes of the event loop in which a response leaves for what has just become durable. The change
# that it tells of causes a scheduling round, which on a small share takes longer than all of them.
RESPONSE_PASSES = 6


class ClusterEvents:
    """Events of one term; the loops of the leader wait for them and clear them."""

    def __init__(self) -> None:
        """Nothing has happened yet."""
        self.changed = asyncio.Event()
        self.capacity_short = asyncio.Event()
        self._jobs_changed = False

    def notify_changed(self) -> None:
        """Report a change that placement may act on."""
        self.changed.set()

    def notify_capacity_short(self) -> None:
        """Report that machines could not be had, so that others are requested at once."""
        self.capacity_short.set()

    def notify_jobs_changed(self) -> None:
        """Report that a job came or ended; decisions start once its response has left."""
        self._jobs_changed = True
        self._notify_after(RESPONSE_PASSES)

    def take_jobs_changed(self) -> bool:
        """Return whether a job came or ended since this was last asked."""
        changed, self._jobs_changed = self._jobs_changed, False
        return changed

    def _notify_after(self, passes: int) -> None:
        if passes > 0:
            asyncio.get_running_loop().call_soon(self._notify_after, passes - 1)
            return
        self.notify_changed()
        self.notify_capacity_short()
