"""One leadership, by its fencing token."""

from elmthread.leadership.election import Election


class Term:
    """One leadership, by its token.

    A node can lose its leadership and win it again while one of its answers is still being
    made. What was begun under the old token must not be finished under the new one: its view
    is the old one. So the leader's parts ask their term, never the election.
    """

    def __init__(self, election: Election, fencing_token: int) -> None:
        """The term of that token."""
        self._election = election
        self.fencing_token = fencing_token

    @property
    def leader(self) -> str | None:
        """Who leads, as far as this node knows."""
        return self._election.leader

    def holds_lease(self) -> bool:
        """Whether this very term's lease surely holds."""
        return self._election.fencing_token == self.fencing_token and self._election.holds_lease()

    def may_answer_workers(self) -> bool:
        """Whether this very term may still answer workers."""
        return self._election.fencing_token == self.fencing_token and self._election.may_answer_workers()

    def observe_token(self, fencing_token: int) -> None:
        """A worker has seen that token."""
        self._election.observe_term(fencing_token, None)

    def step_down(self, why: str) -> None:
        """Ends this term, if it is still the present one."""
        if self._election.fencing_token == self.fencing_token:
            self._election.step_down(why)
