"""The interface of components that follow this node's terms."""

from typing import Protocol


class LeadershipListener(Protocol):
    """Receives the beginning and the end of this node's terms."""

    def on_elected(self, fencing_token: int) -> None:
        """Start the work of the term of that fencing token."""

    def on_lost(self) -> None:
        """Stop the work of the term that has ended: nothing more may be done under its fencing token."""
