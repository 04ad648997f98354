"""Tests of the leader's lease: each role with each event and each response to a renewal."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from itertools import product
from typing import Any

import pytest

from elmthread.common.clock import seconds
from elmthread.leadership.election import Election, ElectionSettings
from elmthread.leadership.role import Role
from elmthread.leadership.step_down import StepDownReason
from elmthread.leadership.term import Term
from elmthread.net.http_client import ClientResponse, NoResponseError
from elmthread.net.http_messages import Precondition
from elmthread.store.client import KeyValueStore
from elmthread.store.token_bucket import TokenBucket
from tests.world.loop import SimLoop, play

TTL, GRACE_PERIOD, TOKEN = seconds(3), seconds(10), 20
F, L, U = Role.FOLLOWER, Role.LEADING, Role.LEASE_UNCERTAIN


class RenewalStore:
    """A key-value store that answers each request for a lease with the same status, or with none if it is 0."""

    def __init__(self, loop: SimLoop, status: int) -> None:
        self.loop, self.status = loop, status
        self.methods: list[str] = []

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        self.methods.append(method)
        await asyncio.sleep(0.01)
        if not self.status:
            raise NoResponseError("connection lost")
        return ClientResponse(self.status, {})


def make_election(role: Role, status: int = 200) -> tuple[SimLoop, Election, RenewalStore]:
    loop = SimLoop()
    asyncio.set_event_loop(loop)
    caller = RenewalStore(loop, status)
    client = KeyValueStore(caller, TokenBucket(100, 100, loop.clock))
    election = Election(ElectionSettings("a", TTL, GRACE_PERIOD), client, loop.clock)
    if role is not F:
        election.fencing_token = election.highest_seen_token = TOKEN
        election.leader = "a"
        election._lease_certain_until = loop.clock() + TTL
        election._set_role(L)
    if role is U:
        loop.now = 4.0
        assert not election.holds_lease()
    return loop, election, caller


# The role after each event, by the role before it: time within the certain lease, after it and after the grace
# period; an older term, its own and a newer one observed; stepping down.
EVENTS: dict[str, tuple[Callable[[SimLoop, Election], object], dict[Role, Role]]] = {
    "asked now": (lambda loop, election: election.may_answer_workers(), {F: F, L: L, U: U}),
    "past the certain lease": (lambda loop, election: _later(loop, election, 5.0), {F: F, L: U, U: U}),
    "past the grace period": (lambda loop, election: _later(loop, election, 20.0), {F: F, L: F, U: F}),
    "an older term": (lambda loop, election: election.observe_term(TOKEN - 1, "b"), {F: F, L: L, U: U}),
    "its own term": (lambda loop, election: election.observe_term(TOKEN, "a"), {F: F, L: L, U: U}),
    "a newer term": (lambda loop, election: election.observe_term(TOKEN + 1, "b"), {F: F, L: F, U: F}),
    "a newer token, no name": (lambda loop, election: election.observe_term(TOKEN + 1, None), {F: F, L: F, U: F}),
    "stepped down": (lambda loop, election: election.step_down(StepDownReason.FAULT), {F: F, L: F, U: F}),
}


def _later(loop: SimLoop, election: Election, now: float) -> None:
    loop.now = now
    election.may_answer_workers()


@pytest.mark.parametrize(("role", "event"), product(Role, EVENTS))
def test_every_role_with_every_event(role: Role, event: str) -> None:
    loop, election, _ = make_election(role)
    act, after = EVENTS[event]
    act(loop, election)
    assert election.role is after[role]
    # It acts as leader only in LEADING; in addition it answers workers in LEASE_UNCERTAIN.
    assert election.holds_lease() == (after[role] is L)
    assert election.may_answer_workers() == (after[role] is not F)
    assert Term(election, TOKEN).holds_lease() == (after[role] is L)
    # An earlier term of the same node must not act in the current one.
    assert not Term(election, TOKEN - 1).holds_lease() and not Term(election, TOKEN - 1).may_answer_workers()
    loop.close()


@pytest.mark.parametrize(
    ("role", "status", "after"),
    [(L, 200, L), (U, 200, L), (L, 404, F), (U, 404, F), (L, 503, U), (U, 503, U), (L, 0, U), (U, 0, U)],
)
def test_every_role_with_every_response_to_a_renewal(role: Role, status: int, after: Role) -> None:
    """200: renewed and certain; 404: expired; 503 or no response: uncertain once the certain time is over."""
    loop, election, caller = make_election(role, status)

    async def main() -> None:
        keeping = asyncio.create_task(election._keep_lease(7))
        await asyncio.sleep(4)
        election.holds_lease()
        assert election.role is after
        keeping.cancel()

    play(main(), loop)
    # Only the lease of a term that has ended is revoked.
    assert caller.methods.count("DELETE") == (after is F)


@pytest.mark.parametrize("pause_s", [2.0, 4.0, 20.0])
def test_a_renewal_answered_after_a_process_pause_counts_from_when_it_was_sent(pause_s: float) -> None:
    loop, election, caller = make_election(L)

    def main() -> Coroutine[Any, Any, None]:
        async def run() -> None:
            keeping = asyncio.create_task(election._keep_lease(7))
            await asyncio.sleep(0.005)
            # The renewal has been sent; its response is read only after the process was paused.
            loop.now += pause_s
            request_count = len(caller.methods)
            await asyncio.sleep(0.01)
            assert len(caller.methods) >= request_count
            assert election.holds_lease() == (pause_s < TTL.total_seconds())
            keeping.cancel()

        return run()

    play(main(), loop)


def test_a_node_confirms_only_after_it_has_read_a_term_itself_and_no_term_before_the_newest_known() -> None:
    _, election, _ = make_election(F)
    assert not election.has_won_no_later_term(TOKEN)
    # A term that others announce may be older than one that an earlier process of this node has won.
    election.observe_term(TOKEN, "b")
    assert not election.has_won_no_later_term(TOKEN)
    election._last_stored_token = TOKEN - 5
    assert (
        election.has_won_no_later_term(TOKEN)
        and election.has_won_no_later_term(TOKEN + 1)
        and not election.has_won_no_later_term(TOKEN - 1)
    )
    election._is_candidate = True
    assert not election.has_won_no_later_term(TOKEN)
    election._is_candidate = False
    election.observe_term(TOKEN + 1, "c")
    assert not election.has_won_no_later_term(TOKEN) and election.has_won_no_later_term(TOKEN + 1)


def test_the_grace_period_counts_from_the_last_confirmation_that_no_other_node_had_won() -> None:
    loop, election, _ = make_election(U)
    loop.now = 12.0
    election.confirm_no_later_term(TOKEN, loop.clock())
    # A confirmation of another term does not count, and an earlier one does not shorten the period.
    election.confirm_no_later_term(TOKEN + 1, seconds(20))
    election.confirm_no_later_term(TOKEN, seconds(1))
    loop.now = 21.9
    assert election.may_answer_workers()
    loop.now = 22.1
    assert not election.may_answer_workers() and election.role is F
