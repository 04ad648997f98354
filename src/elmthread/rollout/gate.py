"""Lets a process take part only once its levels are announced and it can read the active one.

The announcement is written before the process serves, stands for leader or reads jobs. Its transaction
compares the record of the active level, so either the activation sees the announcement, or the process
sees the level. It compares the node's own earlier record too and is made at every start, also with the
same content: what an earlier process of this node has on its way then fails, however late it arrives.
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
from elmthread.rollout import messages
from elmthread.rollout.store import read_records
from elmthread.rollout.view import Announcement, RolloutView
from elmthread.settings.rollout import RolloutSettings
from elmthread.store import messages as store
from elmthread.store.client import KeyValueStore, RejectedTransactionError, StoreError

log = logging.getLogger(__name__)

RETRY = seconds(0.3)
# A process that can't take part looks again after this time whether it can.
LOOK_AGAIN = seconds(10)


class GateState(Enum):
    """Whether this process may take part."""

    ANNOUNCING = auto()
    ADMITTED = auto()
    REFUSED = auto()


GATE_STEPS = {
    GateState.ANNOUNCING: frozenset({GateState.ADMITTED, GateState.REFUSED}),
    GateState.ADMITTED: frozenset({GateState.REFUSED}),
    GateState.REFUSED: frozenset({GateState.ANNOUNCING}),
}


class Membership(msgspec.Struct, frozen=True):
    """This node and all controllers of its settings, itself included."""

    node: str
    members: frozenset[str]


class IncompatibleLevelError(ElmthreadError):
    """The active level is none that this process can read and write."""

    def __init__(self, level: int, supported: SupportedLevels) -> None:
        """Says what an operator has to do."""
        self.level = level
        super().__init__(
            f"compatibility level {level} is active, this version reads {supported.lowest} to {supported.highest}: "
            "it does not take part; start a version that reads the active level on this node"
        )


class CompatibilityGate:
    """The state of one process, and the work that admits it."""

    def __init__(
        self,
        membership: Membership,
        supported: SupportedLevels,
        settings: RolloutSettings,
        client: KeyValueStore,
        on_refused: Callable[[], None],
    ) -> None:
        """Without the rollout enabled a process is admitted at once, and announces nothing."""
        self._membership = membership
        self._supported = supported
        self._settings = settings
        self._client = client
        self._on_refused = on_refused
        self.process = secrets.token_hex(8)
        self._admission = asyncio.Event()
        self._refusal = asyncio.Event()
        # The last refusal: the same one is told of once.
        self._told: str | None = None
        self.state = GateState.ANNOUNCING
        if not settings.enabled:
            self._move(GateState.ADMITTED)
            self._admission.set()

    def _move(self, new: GateState) -> None:
        self.state = transition(f"gate of {self._membership.node}", GATE_STEPS, self.state, new)

    @property
    def admitted(self) -> bool:
        """Whether this process may serve, stand and lead."""
        return self.state is GateState.ADMITTED

    async def wait_admitted(self) -> None:
        """Returns once this process may take part."""
        await self._admission.wait()

    def check(self, level: int) -> None:
        """Raises IncompatibleLevelError, and refuses this process, if it can't read the active level."""
        if level not in self._supported:
            error = IncompatibleLevelError(level, self._supported)
            self.refuse(str(error))
            raise error

    def refuse(self, reason: str) -> None:
        """This process no longer takes part."""
        if self.state is GateState.REFUSED:
            return
        log.log(logging.DEBUG if reason == self._told else logging.ERROR, "%s", reason)
        self._told = reason
        self._move(GateState.REFUSED)
        self._admission.clear()
        self._refusal.set()
        self._on_refused()

    async def run(self) -> None:
        """Announces this process; looks again from time to time while it is refused."""
        while True:
            if self.state is GateState.ADMITTED:
                await self._refusal.wait()
            self._refusal.clear()
            if self.state is GateState.REFUSED:
                await asyncio.sleep(LOOK_AGAIN.total_seconds())
                self._move(GateState.ANNOUNCING)
            await self._try()

    async def _try(self) -> None:
        try:
            await self._announce()
        except RejectedTransactionError as error:
            log.error("the state service refuses the announcement of this process: %s", error)
        except StoreError as error:
            log.info("not announced yet: %s", error)
        except messages.UnreadableLevelError as error:
            self.refuse(f"the active level can't be read, so this process does not take part: {error}")
            return
        except IncompatibleLevelError:
            return
        else:
            # A leader's word of a higher level may have come meanwhile.
            if self.state is GateState.ANNOUNCING:
                self._move(GateState.ADMITTED)
                self._admission.set()
            return
        await asyncio.sleep(RETRY.total_seconds() * random.uniform(0.5, 1.5))

    async def _announce(self) -> None:
        """Returns once this process's announcement is known to stand, or none is wanted."""
        view = messages.read_view((await read_records(self._client)).items)
        self.check(view.level)
        if not self._settings.enabled:
            return
        own = view.announcements.get(self._membership.node)
        if isinstance(own, Announcement) and own.process == self.process:
            # Of an earlier sending without an answer; what remains of it fails on this stamp.
            return
        await self._write(view, 0 if own is None else own.mod_revision)
        log.info("levels %s to %s are announced", self._supported.lowest, self._supported.highest)

    async def _write(self, view: RolloutView, own_mod_revision: int) -> None:
        record = messages.AnnouncementRecord(
            lowest=self._supported.lowest,
            highest=self._supported.highest,
            members=sorted(self._membership.members),
            process=self.process,
            announced_at=round(time.time(), 3),
            hold_at=self._settings.hold_at,
        )
        key = messages.node_key(self._membership.node)
        # Without the first comparison a process could come up unseen beside an activation.
        comparisons = [store.compare(messages.LEVEL_KEY, view.level_mod_revision), store.compare(key, own_mod_revision)]
        await self._client.compare_and_swap(comparisons, [store.put(key, msgspec.to_builtins(record))])
