"""The state service met through its protocol: reads, transactions, grants and watches."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.net.http import Answer, Caller, NoResponseError
from elmthread.store import messages
from elmthread.store.pacing import TokenBucket

log = logging.getLogger(__name__)

T = TypeVar("T", bound=msgspec.Struct)

READ_TIME = seconds(2)


class StoreError(ElmthreadError):
    """What can become of a request to the state service."""


class StoreUnavailableError(StoreError):
    """The request was surely not executed (503, 429, or refused by our own pacing)."""


class RateLimitedError(StoreUnavailableError):
    """Refused as beyond the rate of requests or changes."""


class RejectedTransactionError(StoreError):
    """A transaction that the service takes for malformed or too large: not executed, and never will be."""


class UnknownOutcomeError(StoreError):
    """The request may have been executed, or may still be."""


class ExpiredError(StoreError):
    """The grant is gone, or a watch asked for changes that are no longer kept."""


@dataclass
class ConflictError(StoreError):
    """A guard failed; names the keys."""

    failed: list[str]


class RoundTrips(Protocol):
    """Who wants to know which requests were executed, and when they began."""

    def begin(self) -> timedelta:
        """A request is sent now."""

    def confirm(self, began: timedelta) -> None:
        """A request that began then was executed."""


ReadPage = Callable[[str, str | None, int], Awaitable[messages.Page]]


async def read_all(read_page: ReadPage, prefix: str, most: int) -> tuple[list[messages.KeyValue], int]:
    """All records under a prefix, `most` to a page, and the revision of the first page.

    A watch from that revision sees whatever changes while the other pages are read. Raises what `read_page` raises.
    """
    items: list[messages.KeyValue] = []
    page = await read_page(prefix, None, most)
    first_revision = page.revision
    while True:
        items += page.items
        if not page.more or not page.items:
            return items, first_revision
        page = await read_page(prefix, page.items[-1].key, most)


class KeyValueStore:
    def __init__(self, caller: Caller, requests: TokenBucket, link: RoundTrips | None = None) -> None:
        """`link` is told of each request that was answered."""
        self._link = link
        self._caller = caller
        self._requests = requests

    async def get(self, key: str) -> messages.KeyValue | None:
        answer = await self._call("GET", f"/store/{key}")
        if answer.status == 404:
            return None
        return _read(answer, messages.KeyValue)

    async def page(self, prefix: str, after: str | None, most: int) -> messages.Page:
        since = "" if after is None else f"&since={quote(after, safe='/')}"
        answer = await self._call("GET", f"/store?starts={quote(prefix, safe='/')}{since}&most={most}")
        return _read(answer, messages.Page)

    async def compare_and_swap(
        self, comparisons: list[dict[str, Any]], then: list[dict[str, Any]], timeout: timedelta = READ_TIME
    ) -> int:
        answer = await self._call("POST", "/txn", {"guards": comparisons, "then": then}, timeout)
        if answer.status == 409:
            raise ConflictError(_read(answer, messages.Conflict, 409).failed)
        if answer.status == 400:
            raise RejectedTransactionError(str(answer.body))
        return _read(answer, messages.Revision).revision

    async def grant_lease(self, ttl: timedelta) -> int:
        answer = await self._call("POST", "/grants", {"ttl_ms": round(ttl.total_seconds() * 1000)})
        return _read(answer, messages.LeaseGrant).lease_id

    async def renew_lease(self, lease_id: int, timeout: timedelta) -> None:
        # Renewals skip the pacing: room for them is kept by everything else.
        answer = await self._raw("POST", f"/grants/{lease_id}/extend", {}, timeout)
        if answer.status == 404:
            raise ExpiredError(f"grant {lease_id}")
        _known(answer, 200)

    async def revoke_lease(self, lease_id: int) -> None:
        answer = await self._raw("DELETE", f"/grants/{lease_id}", None, READ_TIME)
        if answer.status != 404:
            _known(answer, 200)

    async def watch(self, prefix: str, since: int, block: timedelta) -> messages.WatchEvents:
        ms = round(block.total_seconds() * 1000)
        path = f"/watch?starts={prefix}&since={since}&block_ms={ms}"
        answer = await self._call("GET", path, None, block + READ_TIME)
        if answer.status == 410:
            raise ExpiredError("watch")
        return _read(answer, messages.WatchEvents)

    async def _call(self, method: str, path: str, body: Any = None, timeout: timedelta = READ_TIME) -> Answer:
        if not self._requests.take():
            raise StoreUnavailableError("our own pacing")
        return await self._raw(method, path, body, timeout)

    async def _raw(self, method: str, path: str, body: Any, timeout: timedelta) -> Answer:
        began = self._link.begin() if self._link is not None else None
        try:
            answer = await self._caller.call(method, path, body, timeout=timeout)
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error)) from error
        # A rejection proves no execution, and so no round trip to the store itself.
        if self._link is not None and began is not None and answer.status not in (429, 503):
            self._link.confirm(began)
        if answer.status == 429:
            self._requests.drain()
            raise RateLimitedError(f"{method} {path.split('?')[0]}: 429: {answer.body}")
        if answer.status == 503:
            raise StoreUnavailableError(f"{method} {path.split('?')[0]}: {answer.status}")
        return answer


def _known(answer: Answer, *statuses: int) -> None:
    if answer.status not in statuses:
        log.error("state service: unexpected status %s: %s", answer.status, answer.body)
        raise UnknownOutcomeError(f"status {answer.status}")


def _read(answer: Answer, kind: type[T], status: int = 200) -> T:
    _known(answer, status)
    try:
        return msgspec.convert(answer.body, kind)
    except msgspec.ValidationError as error:
        log.error("state service: malformed answer: %s", error)
        raise UnknownOutcomeError(str(error)) from error
