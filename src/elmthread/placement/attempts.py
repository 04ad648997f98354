"""Attempt numbers, unique over all terms."""

# Attempts that one leader may start; the fencing token is higher in each term.
ATTEMPTS_PER_TERM = 10_000_000


class AttemptCounter:
    """Counts the attempts of one term."""

    def __init__(self, fencing_token: int) -> None:
        """Start right after `fencing_token` times ATTEMPTS_PER_TERM."""
        self.last = fencing_token * ATTEMPTS_PER_TERM

    def next(self) -> int:
        """Return the number of a new attempt."""
        self.last += 1
        return self.last
