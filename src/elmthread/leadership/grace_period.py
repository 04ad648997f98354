"""Extends the grace period of a leader with an uncertain lease as long as no other node has won a later term."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from elmthread.common.clock import Clock, seconds
from elmthread.leadership.election import Election
from elmthread.leadership.role import Role

CHECK_INTERVAL = seconds(0.5)


class TermConfirmations(Protocol):
    """Requests that ask other controllers whether they have won a later term."""

    async def confirms_no_later_term(self, node: str, fencing_token: int) -> bool:
        """Return whether a node confirms that it has won no later term than that of the token."""


class GracePeriodExtension:
    """Asks the other nodes whether they have won a later term while the lease of this node is uncertain.

    As long as all of them confirm that they have won no later term, this node may keep answering workers. During an
    outage of the key-value store no node can win, so this lasts for the whole outage and no work is lost. If one of
    them does not respond, the grace period ends as it would without the extension.
    """

    def __init__(self, election: Election, others: Sequence[str], requests: TermConfirmations, clock: Clock) -> None:
        """Take the names of all other nodes as `others`."""
        self._election = election
        self._others = others
        self._requests = requests
        self._clock = clock

    async def run(self) -> None:
        """Ask at intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if self._election.role is Role.LEASE_UNCERTAIN:
                await self._ask_others()

    async def _ask_others(self) -> None:
        asked_at, fencing_token = self._clock(), self._election.fencing_token
        requests = [self._requests.confirms_no_later_term(node, fencing_token) for node in self._others]
        if all(await asyncio.gather(*requests)):
            self._election.confirm_no_later_term(fencing_token, asked_at)
