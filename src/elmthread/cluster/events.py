"""Events that wake the leader's loops: changes that decisions may act on, and shortages of machines."""

import asyncio

# Passes of the event loop until the response about a change that has just become durable has left. The
# scheduling round that the change causes takes longer than these passes, so it is delayed until then.
PASSES_BEFORE_ROUND = 6


class ClusterEvents:
    """Events of one term; the loops of the leader wait for them and clear them."""

    def __init__(self) -> None:
        """Start with no event set."""
        self.changed = asyncio.Event()
        self.capacity_short = asyncio.Event()
        self._jobs_changed = False

    def notify_changed(self) -> None:
        """Signal a change that placement may act on."""
        self.changed.set()

    def notify_capacity_short(self) -> None:
        """Signal that the cloud refused requested machines, so that others are requested at once."""
        self.capacity_short.set()

    def notify_jobs_changed(self) -> None:
        """Signal that a job was submitted or ended; decisions start once its response has left."""
        self._jobs_changed = True
        self._notify_after(PASSES_BEFORE_ROUND)

    def take_jobs_changed(self) -> bool:
        """Return whether a job was submitted or ended since the last call."""
        changed, self._jobs_changed = self._jobs_changed, False
        return changed

    def _notify_after(self, passes: int) -> None:
        if passes > 0:
            asyncio.get_running_loop().call_soon(self._notify_after, passes - 1)
            return
        self.notify_changed()
        self.notify_capacity_short()
