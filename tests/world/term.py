"""Term contexts for tests, with stubs for what a test does not pass."""

from typing import Any, cast

from elmthread.cluster.events import ClusterEvents
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import Clock
from elmthread.common.features import ActiveFeatures
from elmthread.leadership.context import TermContext
from elmthread.leadership.step_down import StepDownReason


class StubTerm:
    """A stub of a term whose lease holds while `lease_valid` is set."""

    def __init__(self, fencing_token: int = 1) -> None:
        self.fencing_token = fencing_token
        self.lease_valid = True
        self.step_down_reasons: list[StepDownReason] = []

    def holds_lease(self) -> bool:
        return self.lease_valid

    def step_down(self, reason: StepDownReason) -> None:
        self.step_down_reasons.append(reason)

    def end_after_conflict(self) -> None:
        self.step_down(StepDownReason.TRANSACTION_CONFLICT)


def term_context(clock: Clock, cluster: ClusterState, writer: Any = None, term: Any = None) -> TermContext:
    """Return the context that services of one term share; `writer` and `term` may be stubs."""
    return TermContext(
        term=term or cast(Any, StubTerm()),
        store=cast(Any, None),
        writer=writer,
        cluster=cluster,
        events=ClusterEvents(),
        features=ActiveFeatures(),
        clock=clock,
    )
