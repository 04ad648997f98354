"""The leader's lease: won by one transaction, renewed, and given up in time.

The leader key hangs on a grant of the state service. A grant never ends early, so this
node may lead until `ttl` after it SENT the last renewal that was answered, less drift.
After that it may for a bounded while go on answering workers (HOLDING), to keep their
tasks alive through an outage of the state service. Every new leader waits that while out
before it takes a machine that has not reported for empty.
"""

import asyncio
import logging
import random
import secrets
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum, auto
from typing import Protocol

import msgspec

from elmthread.common.clock import ZERO, Clock, at_least, at_most, seconds
from elmthread.common.states import transition
from elmthread.store import messages
from elmthread.store.client import (
    ConflictError,
    ExpiredError,
    KeyValueStore,
    StoreError,
    StoreUnavailableError,
    UnknownOutcomeError,
)
from elmthread.store.records import LEADER

log = logging.getLogger(__name__)

# Time between a check of the lease and the moment an answer leaves.
MARGIN = seconds(0.15)
RETRY = seconds(0.3)
WATCH = seconds(10)


class Role(Enum):
    """What this node is."""

    FOLLOWER = auto()
    LEADING = auto()
    LEASE_UNCERTAIN = auto()


ROLE_STEPS = {
    Role.FOLLOWER: frozenset({Role.LEADING}),
    Role.LEADING: frozenset({Role.LEASE_UNCERTAIN, Role.FOLLOWER}),
    Role.LEASE_UNCERTAIN: frozenset({Role.LEADING, Role.FOLLOWER}),
}


class StandingPolicy(Protocol):
    """What keeps a node from standing for a while, though leadership is vacant."""

    def wait_before_standing(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """How long to leave leading to others; `fencing_token` is that of the last term that is known."""

    def term_ended(self) -> None:
        """A term of this node has ended before its process did."""

    def watch_time(self, usual: timedelta) -> timedelta:
        """How long a follower waits for news before it asks again."""


class StandAtOnce:
    """Nothing keeps the node from standing."""

    def wait_before_standing(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """No wait."""
        return ZERO

    def term_ended(self) -> None:
        """Nothing is remembered."""

    def watch_time(self, usual: timedelta) -> timedelta:
        """The usual time."""
        return usual


class LeaderRecord(msgspec.Struct, rename={"lease_id": "hold"}):
    """The value of the leader key."""

    node: str
    nonce: str
    lease_id: int


class Election:
    """Stands for leader, keeps the lease and gives it up; one for each process."""

    def __init__(
        self,
        node: str,
        client: KeyValueStore,
        clock: Clock,
        ttl: timedelta,
        holding: timedelta,
        won: Callable[[int], None],
        lost: Callable[[], None],
        wait_admitted: Callable[[], Awaitable[None]] | None = None,
        standing: StandingPolicy | None = None,
    ) -> None:
        """`wait_admitted` returns once this process may stand at all; `standing` says when it does."""
        self._standing = standing or StandAtOnce()
        self._wait_admitted = wait_admitted
        self._node = node
        self._client = client
        self._clock = clock
        self.ttl = ttl
        self.grace_period = holding
        self._won = won
        self._lost = lost
        self.role = Role.FOLLOWER
        self.fencing_token = 0
        # The newest leadership heard of, by the store, a peer or a worker.
        self.highest_seen_token = 0
        self.leader: str | None = None
        self._sure_until = ZERO
        # The last moment at which, as far as the others confirm it, nobody else had won.
        self._no_later_term_at = ZERO
        # The last term that this very process has found in the store or won, and whether it stands.
        self._found_fencing_token = 0
        self._stands = False
        # Since when this node has seen that nobody leads.
        self._vacant_since: timedelta | None = None
        self._given_up = asyncio.Event()

    def _move(self, new: Role) -> None:
        self.role = transition(self._node, ROLE_STEPS, self.role, new)

    def holds_lease(self) -> bool:
        """The lease surely holds now: this node may write, start and answer users."""
        if self.role is Role.LEADING and self._clock() >= self._sure_until:
            self._move(Role.LEASE_UNCERTAIN)
        return self.role is Role.LEADING

    def may_answer_workers(self) -> bool:
        """Whether workers may be answered: the lease surely holds, or the holding time is not over."""
        if self.holds_lease():
            return True
        since = max(self._sure_until, self._no_later_term_at)
        if self.role is Role.LEASE_UNCERTAIN and self._clock() >= since + at_most(self.grace_period):
            self.step_down("held for as long as allowed")
        return self.role is Role.LEASE_UNCERTAIN

    # Who else may have won

    def has_won_no_later_term(self, fencing_token: int) -> bool:
        """Neither this process, nor an earlier one of this node, has won a later term than that.

        Of its own wins a process knows. An earlier process won before this one began, and so no
        later term than the one that this process has found in the store, or has won, at any time:
        the key held the newest term then. One that has found none confirms nothing.
        """
        return not self._stands and self._found_fencing_token > 0 and self.highest_seen_token <= fencing_token

    def note_no_later_term(self, fencing_token: int, asked: timedelta) -> None:
        """All other nodes, asked then, have confirmed that they have won no later term than that.

        So whoever wins does so later than that, and the time that a new leader waits for an
        earlier one, and that a confirmed cancellation leaves, counts from then on.
        """
        if self.fencing_token == fencing_token:
            self._no_later_term_at = max(self._no_later_term_at, asked)

    def failover_delay(self, lease: timedelta) -> timedelta:
        """How long after winning a silent machine may still keep what an earlier leader gave it."""
        return at_least(self.grace_period + lease) + seconds(1)

    def observe_term(self, fencing_token: int, leader: str | None) -> None:
        """A peer or a worker tells of a leadership."""
        if fencing_token <= self.highest_seen_token:
            if fencing_token == self.highest_seen_token and leader is not None:
                self.leader = leader
            return
        self.highest_seen_token = fencing_token
        self.leader = leader
        if self.role is not Role.FOLLOWER and fencing_token > self.fencing_token:
            self.step_down("a newer leader is known")

    def step_down(self, why: str) -> None:
        """Ends this node's term, if it has one; `why` goes into the log."""
        if self.role is Role.FOLLOWER:
            return
        log.info("stepping down: %s", why)
        self._move(Role.FOLLOWER)
        if self.leader == self._node:
            self.leader = None
        self._given_up.set()
        self._standing.term_ended()
        self._lost()

    async def run(self) -> None:
        """Follows and stands for ever."""
        while True:
            if self._wait_admitted is not None:
                await self._wait_admitted()
            try:
                await self._round()
            except StoreError as error:
                log.debug("election: %s", error)
                await asyncio.sleep(RETRY.total_seconds())

    async def _round(self) -> None:
        page = await self._client.read_page(LEADER, None, 10)
        item = next((item for item in page.items if item.key == LEADER), None)
        if item is None:
            self.leader = None
            # A short random wait: two nodes that try at once both spend a change.
            await asyncio.sleep(random.uniform(0.0, 0.05))
            now = self._clock()
            if self._vacant_since is None:
                self._vacant_since = now
            wait = self._standing.wait_before_standing(now - self._vacant_since, self.highest_seen_token)
            if wait > ZERO:
                await asyncio.sleep(min(wait, RETRY).total_seconds())
                return
            await self._stand()
            return
        self._vacant_since = None
        record = _record(item)
        if record.node == self._node:
            # Of an earlier process of this node: dead, since a node runs one process at a
            # time. Its lease need not be waited out.
            log.info("revoking the lease of an earlier process of this node")
            await self._client.revoke_lease(record.lease_id)
            return
        self.observe_term(item.mod_revision, record.node)
        self._found_fencing_token = item.mod_revision
        revision = page.revision
        while True:
            news = await self._client.watch(LEADER, revision, self._standing.watch_time(WATCH))
            if news.events:
                return
            revision = max(revision, news.revision)

    async def _stand(self) -> None:
        self._stands = True
        try:
            lease_id = await self._win()
        finally:
            self._stands = False
        if lease_id is not None:
            await self._keep(lease_id)

    async def _win(self) -> int | None:
        """The grant of a term that was won."""
        sent = self._clock()
        lease_id = await self._client.grant_lease(self.ttl)
        nonce = secrets.token_hex(8)
        value = msgspec.to_builtins(LeaderRecord(self._node, nonce, lease_id))
        try:
            mod_revision = await self._client.compare_and_swap(
                [messages.compare(LEADER, 0)], [messages.put(LEADER, value, lease_id)]
            )
        except ConflictError:
            await self._client.revoke_lease(lease_id)
            return None
        except UnknownOutcomeError:
            # It may have been applied: if so, the key tells, and the next round revokes it.
            log.info("standing for leader: outcome unknown")
            return None
        if mod_revision < self.highest_seen_token:
            return None
        self._sure_until = sent + at_most(self.ttl) - MARGIN
        self.fencing_token = self.highest_seen_token = self._found_fencing_token = mod_revision
        self.leader = self._node
        self._given_up.clear()
        self._vacant_since = None
        self._move(Role.LEADING)
        log.info("leading with token %s", mod_revision)
        self._won(mod_revision)
        return lease_id

    async def _keep(self, lease_id: int) -> None:
        """Renews until leadership is given up."""
        every = self.ttl / 5
        while self.may_answer_workers():
            pause = every
            sent = self._clock()
            try:
                await self._client.renew_lease(lease_id, timeout=self.ttl / 3)
            except ExpiredError:
                self.step_down("the lease has ended")
                break
            except (StoreUnavailableError, UnknownOutcomeError) as error:
                log.debug("renewal: %s", error)
                pause = RETRY
            else:
                if self.role is Role.FOLLOWER:
                    break
                # Answered: the grant has not ended since, so nobody else has led meanwhile.
                self._sure_until = max(self._sure_until, sent + at_most(self.ttl) - MARGIN)
                if self.role is Role.LEASE_UNCERTAIN and self._clock() < self._sure_until:
                    self._move(Role.LEADING)
            try:
                async with asyncio.timeout(pause.total_seconds()):
                    await self._given_up.wait()
            except TimeoutError:
                pass
        self.step_down("no longer answering")
        try:
            await self._client.revoke_lease(lease_id)
        except (StoreUnavailableError, UnknownOutcomeError):
            log.debug("the old lease could not be given back")


def _record(item: messages.KeyValue) -> LeaderRecord:
    try:
        return msgspec.convert(item.value, LeaderRecord)
    except msgspec.ValidationError as error:
        raise UnknownOutcomeError(f"leader key: {error}") from error
