"""The leader's lease: every role with every event, against a plain table."""

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
F, L, H = Role.FOLLOWER, Role.LEADING, Role.LEASE_UNCERTAIN


class Renewals:
    """The key-value store, as far as a leader that keeps its lease needs it."""

    def __init__(self, loop: SimLoop, status: int) -> None:
        self.loop, self.status = loop, status
        self.asked: list[str] = []

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        self.asked.append(method)
        await asyncio.sleep(0.01)
        if not self.status:
            raise NoResponseError("cut")
        return ClientResponse(self.status, {})


def make_election(role: Role, status: int = 200) -> tuple[SimLoop, Election, Renewals]:
    loop = SimLoop()
    asyncio.set_event_loop(loop)
    caller = Renewals(loop, status)
    client = KeyValueStore(caller, TokenBucket(100, 100, loop.clock))
    election = Election(ElectionSettings("a", TTL, GRACE_PERIOD), client, loop.clock)
    if role is not F:
        election.fencing_token = election.highest_seen_token = TOKEN
        election.leader = "a"
        election._lease_certain_until = loop.clock() + TTL
        election._set_role(L)
    if role is H:
        loop.now = 4.0
        assert not election.holds_lease()
    return loop, election, caller


# The role after each event: time passes while the lease is certain, past that, past the grace period;
# an older, the own and a newer term are observed; leadership is given up.
EVENTS: dict[str, tuple[Callable[[SimLoop, Election], object], dict[Role, Role]]] = {
    "asked now": (lambda loop, one: one.may_answer_workers(), {F: F, L: L, H: H}),
    "past the certain lease": (lambda loop, one: _later(loop, one, 5.0), {F: F, L: H, H: H}),
    "past the grace period": (lambda loop, one: _later(loop, one, 20.0), {F: F, L: F, H: F}),
    "an older term": (lambda loop, one: one.observe_term(TOKEN - 1, "b"), {F: F, L: L, H: H}),
    "its own term": (lambda loop, one: one.observe_term(TOKEN, "a"), {F: F, L: L, H: H}),
    "a newer term": (lambda loop, one: one.observe_term(TOKEN + 1, "b"), {F: F, L: F, H: F}),
    "a newer token, no name": (lambda loop, one: one.observe_term(TOKEN + 1, None), {F: F, L: F, H: F}),
    "stepped down": (lambda loop, one: one.step_down(StepDownReason.FAULT), {F: F, L: F, H: F}),
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
    # Whatever happens, it acts as leader in LEADING alone, and answers workers in no other role but LEASE_UNCERTAIN.
    assert election.holds_lease() == (after[role] is L)
    assert election.may_answer_workers() == (after[role] is not F)
    assert Term(election, TOKEN).holds_lease() == (after[role] is L)
    # An earlier term of the same node never speaks for this one.
    assert not Term(election, TOKEN - 1).holds_lease() and not Term(election, TOKEN - 1).may_answer_workers()
    loop.close()


@pytest.mark.parametrize(
    ("role", "status", "after"),
    [(L, 200, L), (H, 200, L), (L, 404, F), (H, 404, F), (L, 503, H), (H, 503, H), (L, 0, H), (H, 0, H)],
)
def test_every_role_with_every_response_to_a_renewal(role: Role, status: int, after: Role) -> None:
    """200: renewed, and certain again; 404: expired; refused or no response: uncertain once the time is over."""
    loop, election, caller = make_election(role, status)

    async def main() -> None:
        keeping = asyncio.create_task(election._keep_lease(7))
        await asyncio.sleep(4)
        election.holds_lease()
        assert election.role is after
        keeping.cancel()

    play(main(), loop)
    # A lease that is over is revoked, and only that.
    assert caller.asked.count("DELETE") == (after is F)


@pytest.mark.parametrize("still", [2.0, 4.0, 20.0])
def test_a_renewal_answered_after_a_standstill_counts_from_before_it_was_sent(still: float) -> None:
    loop, election, caller = make_election(L)

    def main() -> Coroutine[Any, Any, None]:
        async def run() -> None:
            keeping = asyncio.create_task(election._keep_lease(7))
            await asyncio.sleep(0.005)
            # The renewal is under way; its response is read only after the standstill.
            loop.now += still
            asked = len(caller.asked)
            await asyncio.sleep(0.01)
            assert len(caller.asked) >= asked
            assert election.holds_lease() == (still < TTL.total_seconds())
            keeping.cancel()

        return run()

    play(main(), loop)


def test_a_node_confirms_once_it_has_found_a_term_itself_and_for_no_earlier_than_it_knows_of() -> None:
    _, one, _ = make_election(F)
    assert not one.has_won_no_later_term(TOKEN)
    # What others announce may be older than a win of the process before this one.
    one.observe_term(TOKEN, "b")
    assert not one.has_won_no_later_term(TOKEN)
    one._last_stored_token = TOKEN - 5
    assert (
        one.has_won_no_later_term(TOKEN)
        and one.has_won_no_later_term(TOKEN + 1)
        and not one.has_won_no_later_term(TOKEN - 1)
    )
    one._is_candidate = True
    assert not one.has_won_no_later_term(TOKEN)
    one._is_candidate = False
    one.observe_term(TOKEN + 1, "c")
    assert not one.has_won_no_later_term(TOKEN) and one.has_won_no_later_term(TOKEN + 1)


def test_the_grace_period_counts_from_the_last_moment_at_which_nobody_else_had_won() -> None:
    loop, one, _ = make_election(H)
    loop.now = 12.0
    one.confirm_no_later_term(TOKEN, loop.clock())
    # A confirmation of another term does not count, and an older one takes nothing back.
    one.confirm_no_later_term(TOKEN + 1, seconds(20))
    one.confirm_no_later_term(TOKEN, seconds(1))
    loop.now = 21.9
    assert one.may_answer_workers()
    loop.now = 22.1
    assert not one.may_answer_workers() and one.role is F
