"""Numbers of task attempts, unique across all leadership terms."""

# Maximum number of attempts in one leadership term. The fencing token increases with each term, so the ranges of
# attempt numbers of different terms do not overlap.
ATTEMPTS_PER_TERM = 10_000_000


class AttemptCounter:
    """Issues the attempt numbers of one leadership term."""

    def __init__(self, fencing_token: int) -> None:
        """Start numbering after `fencing_token` times ATTEMPTS_PER_TERM."""
        self.last = fencing_token * ATTEMPTS_PER_TERM

    def next(self) -> int:
        """Return the number of a new attempt."""
        self.last += 1
        return self.last
