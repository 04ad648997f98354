"""Extends the grace period of a leader whose lease is uncertain, while all other nodes confirm its term."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from elmthread.common.clock import Clock, seconds
from elmthread.leadership.election import Election
from elmthread.leadership.role import Role

CHECK_INTERVAL = seconds(0.5)


class TermConfirmations(Protocol):
    """Requests to the other controllers about their terms."""

    async def confirms_no_later_term(self, node: str, fencing_token: int) -> bool:
        """Return whether a node confirms that it has won no later term than that of the token."""


class GracePeriodExtension:
    """Asks the other nodes while the lease is uncertain.

    As long as all of them confirm that they have not won, this node may go on answering workers: in an outage of
    the key-value store that is so for as long as it lasts, and no work is lost. Where one of them does not respond,
    the grace period ends as it would without.
    """

    def __init__(self, election: Election, others: Sequence[str], requests: TermConfirmations, clock: Clock) -> None:
        """`others` are the other nodes."""
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
