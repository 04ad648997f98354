"""One leadership, by its fencing token."""

from elmthread.leadership.election import Election
from elmthread.leadership.step_down import StepDownReason


class Term:
    """One leadership of this node.

    A node can lose its leadership and win it again while one of its responses is still being
    made. What was begun under the old token must not be finished under the new one: it is based on
    the cluster state of the old one. So the leader's services ask their term, never the election.
    """

    def __init__(self, election: Election, fencing_token: int) -> None:
        """Make the term of that token."""
        self._election = election
        self.fencing_token = fencing_token

    @property
    def leader(self) -> str | None:
        """Who leads, as far as this node knows."""
        return self._election.leader

    def holds_lease(self) -> bool:
        """Return whether this very term's lease certainly holds."""
        return self._election.fencing_token == self.fencing_token and self._election.holds_lease()

    def may_answer_workers(self) -> bool:
        """Return whether this very term may still answer workers."""
        return self._election.fencing_token == self.fencing_token and self._election.may_answer_workers()

    def observe_token(self, fencing_token: int) -> None:
        """Note a token that a worker has seen."""
        self._election.observe_term(fencing_token, None)

    def end_after_conflict(self) -> None:
        """End this term, if it is still the present one: a transaction found another leader."""
        self.step_down(StepDownReason.TRANSACTION_CONFLICT)

    def step_down(self, reason: StepDownReason) -> None:
        """End this term, if it is still the present one."""
        if self._election.fencing_token == self.fencing_token:
            self._election.step_down(reason)
