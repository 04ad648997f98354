"""Who acts on the terms of this node."""

from typing import Protocol


class LeadershipListener(Protocol):
    """Who acts on the beginning and the end of this node's terms."""

    def on_elected(self, fencing_token: int) -> None:
        """Begin the term of that token."""

    def on_lost(self) -> None:
        """End the present term: nothing more may be done under its token."""
