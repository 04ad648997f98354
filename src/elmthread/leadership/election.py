"""Leader election: a lease that is acquired by one transaction, renewed, and given up before it may expire.

The leader key is attached to a lease of the key-value store. A lease never expires early, so this node may lead
until `ttl` after it sent (not: received the response to) the last successful renewal, minus clock drift.
After that it may answer workers for a grace period (LEASE_UNCERTAIN), so that their tasks survive an outage of the
store; `grace_period.py` extends it while no other node has won a later term. Every new leader waits for the end of
that period, and of a worker's lease after it, before it treats a machine that has not reported as empty.
"""

import asyncio
import logging
import random
import secrets
from datetime import timedelta

import msgspec

from elmthread.common.clock import ZERO, Clock, extend_for_drift, reduce_for_drift, seconds
from elmthread.common.states import transition
from elmthread.leadership.candidacy import CandidacyPolicy, UnrestrictedCandidacy
from elmthread.leadership.leader_record import LeaderRecord, read_leader_record
from elmthread.leadership.listener import LeadershipListener
from elmthread.leadership.role import ROLE_TRANSITIONS, Role
from elmthread.leadership.step_down import StepDownReason
from elmthread.store import messages
from elmthread.store.client import (
    ConflictError,
    ExpiredError,
    KeyValueStore,
    StoreError,
    StoreUnavailableError,
    UnknownOutcomeError,
)
from elmthread.store.records import LEADER_KEY

log = logging.getLogger(__name__)

# Allowance for the time between a check of the lease and the sending of the response that depends on it.
RESPONSE_MARGIN = seconds(0.15)
RETRY_INTERVAL = seconds(0.3)
WATCH_TIMEOUT = seconds(10)
# Maximum random delay of a candidacy, so that nodes that find at the same time that there is no leader do not all send
# their requests to the store at once. The leader key is not read again after the delay: each candidate is granted a
# lease and tries to write the key, although only one can succeed.
MAX_CANDIDACY_JITTER_S = 0.05
# The duration of a lease divided by the interval between renewals, and by the timeout of one renewal.
RENEWALS_PER_LEASE = 5
RENEWAL_TIMEOUTS_PER_LEASE = 3
LEADER_PAGE_SIZE = 10


class ElectionSettings(msgspec.Struct, frozen=True):
    """The name of this node, the duration of the leader's lease, and the grace period after it."""

    node: str
    # The duration of the leader's lease.
    ttl: timedelta
    # How long workers may still be answered once the lease is no longer certain.
    grace_period: timedelta


class Election:
    """Competes for leadership, renews the lease and steps down; one instance per process."""

    def __init__(
        self,
        settings: ElectionSettings,
        store: KeyValueStore,
        clock: Clock,
        candidacy: CandidacyPolicy | None = None,
    ) -> None:
        """Begin as a follower; `candidacy` decides when this node may be a candidate."""
        self.settings = settings
        self._node = settings.node
        self._store = store
        self._clock = clock
        self._listeners: list[LeadershipListener] = []
        self._candidacy = candidacy or UnrestrictedCandidacy()
        self.role = Role.FOLLOWER
        self.fencing_token = 0
        # The newest term that the store, another controller or a worker has reported.
        self.highest_seen_token = 0
        self.leader: str | None = None
        self._lease_certain_until = ZERO
        # When the other nodes were last asked and all confirmed that they had won no later term than this node's.
        self._no_later_term_at = ZERO
        # The last term that this process itself has read from the store or won, and whether it is a candidate now.
        self._last_stored_token = 0
        self._is_candidate = False
        # When this node first found that there is no leader.
        self._vacant_since: timedelta | None = None
        self._stepped_down = asyncio.Event()

    def add_listener(self, listener: LeadershipListener) -> None:
        """Register a listener, which is called at the beginning and the end of each later term of this node."""
        self._listeners.append(listener)

    def _set_role(self, role: Role) -> None:
        self.role = transition(self._node, ROLE_TRANSITIONS, self.role, role)

    def holds_lease(self) -> bool:
        """Return whether the lease certainly holds now, so that this node may write, start tasks and answer users."""
        if self.role is Role.LEADING and self._clock() >= self._lease_certain_until:
            self._set_role(Role.LEASE_UNCERTAIN)
        return self.role is Role.LEADING

    def may_answer_workers(self) -> bool:
        """Return whether the lease holds or the grace period lasts, so that workers may be answered; else step down."""
        if self.holds_lease():
            return True
        grace_start = max(self._lease_certain_until, self._no_later_term_at)
        if self.role is Role.LEASE_UNCERTAIN and self._clock() >= grace_start + reduce_for_drift(
            self.settings.grace_period
        ):
            self.step_down(StepDownReason.GRACE_PERIOD_OVER)
        return self.role is Role.LEASE_UNCERTAIN

    # Terms of other nodes

    def has_won_no_later_term(self, fencing_token: int) -> bool:
        """Return whether no process of this node can have won a later term than that of the token.

        A process knows the terms that it has won itself. An earlier process of the node won its terms before this
        one started, so they are no later than any term that this process has read from the store or won: the leader
        key held the newest term at that time. A process that has found no term yet, or is a candidate and may be
        winning a term now, confirms nothing.
        """
        return not self._is_candidate and self._last_stored_token > 0 and self.highest_seen_token <= fencing_token

    def confirm_no_later_term(self, fencing_token: int, asked_at: timedelta) -> None:
        """Record that all other nodes, asked at `asked_at`, have confirmed that they have won no later term.

        Any later term thus begins after `asked_at`. So do the time for which its leader waits for an earlier one, and
        the time in which a cancellation that it confirms must take effect: the grace period may start at `asked_at`.
        """
        if self.fencing_token == fencing_token:
            self._no_later_term_at = max(self._no_later_term_at, asked_at)

    def failover_delay(self, worker_lease: timedelta) -> timedelta:
        """Return how long after an election a machine that does not report may still run an earlier leader's tasks."""
        return extend_for_drift(self.settings.grace_period + worker_lease) + seconds(1)

    def observe_term(self, fencing_token: int, leader: str | None) -> None:
        """Record a term that another controller or a worker has reported; step down if it is newer than this node's."""
        if fencing_token <= self.highest_seen_token:
            if fencing_token == self.highest_seen_token and leader is not None:
                self.leader = leader
            return
        self.highest_seen_token = fencing_token
        self.leader = leader
        if self.role is not Role.FOLLOWER and fencing_token > self.fencing_token:
            self.step_down(StepDownReason.NEWER_TERM)

    def step_down(self, reason: StepDownReason) -> None:
        """End this node's term, if it has one."""
        if self.role is Role.FOLLOWER:
            return
        log.info("stepping down: %s", reason)
        self._set_role(Role.FOLLOWER)
        if self.leader == self._node:
            self.leader = None
        self._stepped_down.set()
        self._candidacy.on_term_ended()
        for listener in self._listeners:
            listener.on_lost()

    async def run(self) -> None:
        """Follow the leader, and compete for leadership while there is none, until cancelled."""
        while True:
            await self._candidacy.wait_admitted()
            try:
                await self._follow_or_campaign()
            except StoreError as error:
                log.debug("a step of the election failed and is retried: %s", error)
                await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    async def _follow_or_campaign(self) -> None:
        page = await self._store.read_page(LEADER_KEY, None, LEADER_PAGE_SIZE)
        item = next((item for item in page.items if item.key == LEADER_KEY), None)
        if item is None:
            await self._campaign_if_allowed()
            return
        self._vacant_since = None
        record = read_leader_record(item)
        if record.node == self._node:
            # The record was written by an earlier process of this node, which has ended, as a node runs one process at
            # a time, or for a term or candidacy of this process that is over.
            log.info("revoking the lease of an earlier term or candidacy of this node")
            await self._store.revoke_lease(record.lease_id)
            return
        self.observe_term(item.mod_revision, record.node)
        self._last_stored_token = item.mod_revision
        await self._follow(page.revision)

    async def _follow(self, revision: int) -> None:
        """Wait until the leader key has changed after that revision."""
        while True:
            changes = await self._store.watch(LEADER_KEY, revision, self._candidacy.watch_timeout(WATCH_TIMEOUT))
            if changes.events:
                return
            revision = max(revision, changes.revision)

    async def _campaign_if_allowed(self) -> None:
        self.leader = None
        await asyncio.sleep(random.uniform(0.0, MAX_CANDIDACY_JITTER_S))
        now = self._clock()
        if self._vacant_since is None:
            self._vacant_since = now
        delay = self._candidacy.candidacy_delay(now - self._vacant_since, self.highest_seen_token)
        if delay > ZERO:
            await asyncio.sleep(min(delay, RETRY_INTERVAL).total_seconds())
            return
        await self._campaign()

    async def _campaign(self) -> None:
        self._is_candidate = True
        try:
            lease_id = await self._win_term()
        finally:
            self._is_candidate = False
        if lease_id is not None:
            await self._keep_lease(lease_id)

    async def _win_term(self) -> int | None:
        """Try to write the leader key; return the id of its lease if this node has won the term, else None."""
        sent_at = self._clock()
        lease_id = await self._store.grant_lease(self.settings.ttl)
        nonce = secrets.token_hex(8)
        value = msgspec.to_builtins(LeaderRecord(self._node, nonce, lease_id))
        try:
            mod_revision = await self._store.compare_and_swap(
                [messages.compare(LEADER_KEY, 0)], [messages.put(LEADER_KEY, value, lease_id)]
            )
        except ConflictError:
            await self._store.revoke_lease(lease_id)
            return None
        except UnknownOutcomeError:
            # If the transaction was applied, the next read of the leader key finds it, and its lease is revoked.
            log.info("the outcome of this node's candidacy is unknown")
            return None
        if mod_revision < self.highest_seen_token:
            return None
        self._extend_lease(sent_at)
        self._begin_term(mod_revision)
        return lease_id

    def _begin_term(self, fencing_token: int) -> None:
        self.fencing_token = self.highest_seen_token = self._last_stored_token = fencing_token
        self.leader = self._node
        self._stepped_down.clear()
        self._vacant_since = None
        self._set_role(Role.LEADING)
        log.info("leading with token %s", fencing_token)
        for listener in self._listeners:
            listener.on_elected(fencing_token)

    def _extend_lease(self, sent_at: timedelta) -> None:
        """Extend the time for which the lease is certain, counted from when the successful request was sent."""
        until = sent_at + reduce_for_drift(self.settings.ttl) - RESPONSE_MARGIN
        self._lease_certain_until = max(self._lease_certain_until, until)

    async def _keep_lease(self, lease_id: int) -> None:
        """Renew the lease until the term ends, then revoke it."""
        while self.may_answer_workers():
            pause = self.settings.ttl / RENEWALS_PER_LEASE
            sent_at = self._clock()
            try:
                await self._store.renew_lease(lease_id, timeout=self.settings.ttl / RENEWAL_TIMEOUTS_PER_LEASE)
            except ExpiredError:
                self.step_down(StepDownReason.LEASE_EXPIRED)
                break
            except (StoreUnavailableError, UnknownOutcomeError) as error:
                log.debug("the lease was not renewed: %s", error)
                pause = RETRY_INTERVAL
            else:
                if self.role is Role.FOLLOWER:
                    break
                self._on_renewed(sent_at)
            try:
                async with asyncio.timeout(pause.total_seconds()):
                    await self._stepped_down.wait()
            except TimeoutError:
                pass
        self.step_down(StepDownReason.LEASE_NOT_RENEWED)
        try:
            await self._store.revoke_lease(lease_id)
        except (StoreUnavailableError, UnknownOutcomeError):
            log.debug("the lease of the term that has ended could not be revoked")

    def _on_renewed(self, sent_at: timedelta) -> None:
        """Continue the term: the lease has not expired since it was granted, so no other node has led meanwhile."""
        self._extend_lease(sent_at)
        if self.role is Role.LEASE_UNCERTAIN and self._clock() < self._lease_certain_until:
            self._set_role(Role.LEADING)
