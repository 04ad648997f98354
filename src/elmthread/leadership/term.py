"""One term of this node as leader, identified by its fencing token."""

from elmthread.leadership.election import Election
from elmthread.leadership.step_down import StepDownReason


class Term:
    """One term of this node as leader.

    A node can lose leadership and win it again while it still prepares a response. Work that was begun under the
    old token must not be finished under the new one, as it is based on the cluster state of the old term. So the
    leader's services ask their term, never the election, whether they may act.
    """

    def __init__(self, election: Election, fencing_token: int) -> None:
        """Create the term of that fencing token."""
        self._election = election
        self.fencing_token = fencing_token

    @property
    def leader(self) -> str | None:
        """The leader that this node knows of."""
        return self._election.leader

    def holds_lease(self) -> bool:
        """Return whether this term is the current one and its lease certainly holds."""
        return self._election.fencing_token == self.fencing_token and self._election.holds_lease()

    def may_answer_workers(self) -> bool:
        """Return whether this term is the current one and may still answer workers."""
        return self._election.fencing_token == self.fencing_token and self._election.may_answer_workers()

    def observe_token(self, fencing_token: int) -> None:
        """Record a fencing token that a worker has seen."""
        self._election.observe_term(fencing_token, None)

    def end_after_conflict(self) -> None:
        """End this term if it is still the current one, as a transaction found another leader."""
        self.step_down(StepDownReason.TRANSACTION_CONFLICT)

    def step_down(self, reason: StepDownReason) -> None:
        """End this term if it is still the current one."""
        if self._election.fencing_token == self.fencing_token:
            self._election.step_down(reason)
