"""Events that wake the leader's scheduling and autoscaling loops."""

import asyncio

# Within this many event loop iterations after a user's change has become durable, the response to the user is sent.
# The scheduling round that the change triggers takes longer than these iterations, so it starts after them.
LOOP_ITERATIONS_BEFORE_ROUND = 6


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
        """Signal that a job was submitted or cancelled; both loops are woken once the user's response has been sent."""
        self._jobs_changed = True
        self._notify_after(LOOP_ITERATIONS_BEFORE_ROUND)

    def take_jobs_changed(self) -> bool:
        """Return whether a job was submitted or cancelled since the last call."""
        changed, self._jobs_changed = self._jobs_changed, False
        return changed

    def _notify_after(self, iterations_left: int) -> None:
        if iterations_left > 0:
            asyncio.get_running_loop().call_soon(self._notify_after, iterations_left - 1)
            return
        self.notify_changed()
        self.notify_capacity_short()
