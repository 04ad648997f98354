"""Attempt numbers, unique over all terms."""

# Attempts that one leader may begin: the fencing token grows with each leadership.
ATTEMPTS_PER_TERM = 10_000_000


class AttemptCounter:
    """Counts the attempts of one term."""

    def __init__(self, fencing_token: int) -> None:
        """Start one above the fencing token's multiple of ATTEMPTS_PER_TERM."""
        self.last = fencing_token * ATTEMPTS_PER_TERM

    def next(self) -> int:
        """Return the number of a new attempt."""
        self.last += 1
        return self.last
