"""Admits a process to the cluster only once its levels are announced and it can read the active one.

The announcement is written before the process serves, is a candidate or reads jobs. Its transaction compares the
record of the active level: if a leader raises the level at the same time, either the leader's transaction finds the
announcement changed, or the process reads the new level. It also compares the node's previous announcement and is
sent at every start, even with the same content: a delayed transaction of an earlier process of this node then fails,
however late it arrives.
"""

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable
from enum import Enum, auto

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.common.features import SupportedLevels
from elmthread.common.states import transition
from elmthread.rollout import records
from elmthread.rollout.membership import Membership
from elmthread.rollout.view import Announcement, RolloutView
from elmthread.store import messages as store_messages
from elmthread.store.client import KeyValueStore, RejectedTransactionError, StoreError

log = logging.getLogger(__name__)

RETRY_INTERVAL = seconds(0.3)
# A refused process checks again after this time whether it can be admitted.
RECHECK_INTERVAL = seconds(10)


class GateState(Enum):
    """Whether this process may take part in the cluster."""

    ANNOUNCING = auto()
    ADMITTED = auto()
    REFUSED = auto()


GATE_TRANSITIONS = {
    GateState.ANNOUNCING: frozenset({GateState.ADMITTED, GateState.REFUSED}),
    GateState.ADMITTED: frozenset({GateState.REFUSED}),
    GateState.REFUSED: frozenset({GateState.ANNOUNCING}),
}


class IncompatibleLevelError(ElmthreadError):
    """This process can't read and write the active level."""

    def __init__(self, level: int, supported: SupportedLevels) -> None:
        """State in the message what an operator has to do."""
        self.level = level
        super().__init__(
            f"compatibility level {level} is active, this version reads {supported.lowest} to {supported.highest}: "
            "it does not take part; start a version that reads the active level on this node"
        )


class CompatibilityGate:
    """Announces a process and admits it to the cluster or refuses it."""

    def __init__(self, membership: Membership, store: KeyValueStore, on_refused: Callable[[], None]) -> None:
        """Admit the process at once, without an announcement, if the rollout is not enabled."""
        self._membership = membership
        self._supported = membership.supported
        self._settings = membership.settings
        self._store = store
        self._on_refused = on_refused
        self.process = secrets.token_hex(8)
        self._admission = asyncio.Event()
        self._refusal = asyncio.Event()
        # A refusal for the same reason as the last one is logged at debug level.
        self._last_refusal: str | None = None
        self.state = GateState.ANNOUNCING
        if not self._settings.enabled:
            self._set_state(GateState.ADMITTED)
            self._admission.set()

    def _set_state(self, state: GateState) -> None:
        self.state = transition(f"gate of {self._membership.node}", GATE_TRANSITIONS, self.state, state)

    @property
    def admitted(self) -> bool:
        """Whether this process may serve, be a candidate and lead."""
        return self.state is GateState.ADMITTED

    async def wait_admitted(self) -> None:
        """Wait until this process is admitted."""
        await self._admission.wait()

    def check(self, level: int) -> None:
        """Refuse this process and raise IncompatibleLevelError if it can't read the active level."""
        if level not in self._supported:
            error = IncompatibleLevelError(level, self._supported)
            self.refuse(str(error))
            raise error

    def refuse(self, reason: str) -> None:
        """Exclude this process from the cluster until its levels are checked again."""
        if self.state is GateState.REFUSED:
            return
        log.log(logging.DEBUG if reason == self._last_refusal else logging.ERROR, "%s", reason)
        self._last_refusal = reason
        self._set_state(GateState.REFUSED)
        self._admission.clear()
        self._refusal.set()
        self._on_refused()

    async def run(self) -> None:
        """Announce this process, and check again periodically while it is refused."""
        while True:
            if self.state is GateState.ADMITTED:
                await self._refusal.wait()
            self._refusal.clear()
            if self.state is GateState.REFUSED:
                await asyncio.sleep(RECHECK_INTERVAL.total_seconds())
                self._set_state(GateState.ANNOUNCING)
            await self._try_to_announce()

    async def _try_to_announce(self) -> None:
        try:
            await self._announce()
        except RejectedTransactionError as error:
            log.error("the key-value store rejects the announcement of this process: %s", error)
        except StoreError as error:
            log.info("this process is not announced yet: %s", error)
        except records.UnreadableLevelError as error:
            self.refuse(f"the active level can't be read, so this process does not take part: {error}")
            return
        except IncompatibleLevelError:
            return
        else:
            # The process may have been refused meanwhile, as a leader has announced a level that it can't read.
            if self.state is GateState.ANNOUNCING:
                self._set_state(GateState.ADMITTED)
                self._admission.set()
            return
        await asyncio.sleep(RETRY_INTERVAL.total_seconds() * random.uniform(0.5, 1.5))

    async def _announce(self) -> None:
        """Check the active level, then write this process's announcement unless it is stored already or not needed."""
        view = records.read_view((await records.read_records(self._store)).items)
        self.check(view.level)
        if not self._settings.enabled:
            return
        own_announcement = view.announcements.get(self._membership.node)
        if isinstance(own_announcement, Announcement) and own_announcement.process == self.process:
            # Written before this process was refused, or by a transaction whose response was lost. If that one is
            # applied again, it fails, as the revision that it compares has changed.
            return
        await self._write_announcement(view, 0 if own_announcement is None else own_announcement.mod_revision)
        log.info("levels %s to %s are announced", self._supported.lowest, self._supported.highest)

    async def _write_announcement(self, view: RolloutView, own_mod_revision: int) -> None:
        record = records.AnnouncementRecord(
            lowest=self._supported.lowest,
            highest=self._supported.highest,
            members=sorted(self._membership.members),
            process=self.process,
            announced_at=round(time.time(), 3),
            hold_at=self._settings.hold_at,
        )
        key = records.node_key(self._membership.node)
        # Without the first comparison, this process could be missed by a leader that raises the level meanwhile.
        comparisons = [
            store_messages.compare(records.LEVEL_KEY, view.level_mod_revision),
            store_messages.compare(key, own_mod_revision),
        ]
        await self._store.compare_and_swap(comparisons, [store_messages.put(key, msgspec.to_builtins(record))])
