"""Client of the key-value store: reads, compare-and-swap transactions, leases and watches."""

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.net.http_client import ClientResponse, HttpCaller, NoResponseError
from elmthread.store import messages
from elmthread.store.token_bucket import TokenBucket

log = logging.getLogger(__name__)

T = TypeVar("T", bound=msgspec.Struct)

REQUEST_TIMEOUT = seconds(2)


class StoreError(ElmthreadError):
    """A request to the key-value store did not succeed."""


class StoreUnavailableError(StoreError):
    """The request was not executed: status 503 or 429, or over this client's own rate limit."""


class RateLimitedError(StoreUnavailableError):
    """The store refused the request as over its rate limit for requests or changes."""


class RejectedTransactionError(StoreError):
    """The store rejects the transaction as malformed or too large: it was not executed, and never will be."""


class UnknownOutcomeError(StoreError):
    """The request may have been executed, or may still be executed later."""


class ExpiredError(StoreError):
    """The lease has ended, or a watch requested changes that the store no longer retains."""


@dataclass
class ConflictError(StoreError):
    """A comparison of the transaction failed, so nothing was changed."""

    # The keys whose revision differed.
    failed: list[str]


class RequestObserver(Protocol):
    """Observes the connection to the store: which requests were executed, and when they were sent."""

    def begin(self) -> timedelta:
        """Return the time at which a request is sent."""

    def confirm(self, began: timedelta) -> None:
        """Note that a request sent at that time was executed."""


# Reads one page of keys, given the prefix, the key to start after, and the maximum number of items.
PageReader = Callable[[str, str | None, int], Awaitable[messages.RangePage]]


class PrefixRecords(msgspec.Struct, frozen=True):
    """All records under a prefix; a watch from `revision` also sees changes made while they were read."""

    items: list[messages.KeyValue]
    revision: int


async def read_prefix(read_page: PageReader, prefix: str, page_size: int) -> PrefixRecords:
    """Return all records under a prefix, read page by page. Raises what `read_page` raises."""
    items: list[messages.KeyValue] = []
    page = await read_page(prefix, None, page_size)
    first_revision = page.revision
    while True:
        items += page.items
        if not page.more or not page.items:
            return PrefixRecords(items, first_revision)
        page = await read_page(prefix, page.items[-1].key, page_size)


class KeyValueStore:
    """A client of the key-value store that limits its rate of requests.

    Each method raises StoreUnavailableError or UnknownOutcomeError if the request fails.
    """

    def __init__(self, caller: HttpCaller, rate_limit: TokenBucket, observer: RequestObserver | None = None) -> None:
        """Send requests through `caller` within `rate_limit`; `observer` is notified of those that were executed."""
        self._observer = observer
        self._caller = caller
        self._rate_limit = rate_limit

    async def get(self, key: str) -> messages.KeyValue | None:
        """Return the key with its value, or None if it does not exist."""
        response = await self._call("GET", f"/store/{key}")
        if response.status == 404:
            return None
        return _decode(response, messages.KeyValue)

    async def read_page(self, prefix: str, after: str | None, page_size: int) -> messages.RangePage:
        """Return the first keys under a prefix, or the first ones after the key `after`."""
        since = "" if after is None else f"&since={quote(after, safe='/')}"
        response = await self._call("GET", f"/store?starts={quote(prefix, safe='/')}{since}&most={page_size}")
        return _decode(response, messages.RangePage)

    async def compare_and_swap(
        self,
        comparisons: Sequence[messages.Comparison],
        operations: Sequence[messages.Put],
        timeout: timedelta = REQUEST_TIMEOUT,
    ) -> int:
        """Execute the operations if all comparisons hold, and return the revision.

        Raises ConflictError if one does not hold, RejectedTransactionError if the store never accepts it.
        """
        transaction = messages.Transaction(list(comparisons), list(operations))
        response = await self._call("POST", "/txn", msgspec.to_builtins(transaction), timeout)
        if response.status == 409:
            raise ConflictError(_decode(response, messages.Conflict, 409).failed)
        if response.status == 400:
            raise RejectedTransactionError(str(response.body))
        return _decode(response, messages.Revision).revision

    async def grant_lease(self, ttl: timedelta) -> int:
        """Return the id of a new lease that ends `ttl` after its last renewal."""
        response = await self._call("POST", "/grants", {"ttl_ms": round(ttl.total_seconds() * 1000)})
        return _decode(response, messages.LeaseGrant).lease_id

    async def renew_lease(self, lease_id: int, timeout: timedelta) -> None:
        """Renew a lease. Raises ExpiredError if it has ended."""
        # Renewals bypass the rate limit: the limit on all other requests leaves room for them.
        response = await self._send("POST", f"/grants/{lease_id}/extend", {}, timeout)
        if response.status == 404:
            raise ExpiredError(f"lease {lease_id}")
        _require_status(response, 200)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, with all keys that expire with it; one that has already ended is no error."""
        response = await self._send("DELETE", f"/grants/{lease_id}", None, REQUEST_TIMEOUT)
        if response.status != 404:
            _require_status(response, 200)

    async def watch(self, prefix: str, since: int, block: timedelta) -> messages.WatchEvents:
        """Return the changes under a prefix after revision `since`; wait up to `block` for the first one.

        Raises ExpiredError if the store no longer retains the changes since then.
        """
        ms = round(block.total_seconds() * 1000)
        path = f"/watch?starts={prefix}&since={since}&block_ms={ms}"
        response = await self._call("GET", path, None, block + REQUEST_TIMEOUT)
        if response.status == 410:
            raise ExpiredError("watch")
        return _decode(response, messages.WatchEvents)

    async def _call(
        self, method: str, path: str, body: Any = None, timeout: timedelta = REQUEST_TIMEOUT
    ) -> ClientResponse:
        if not self._rate_limit.take():
            raise StoreUnavailableError("the request rate of this client is exhausted")
        return await self._send(method, path, body, timeout)

    async def _send(self, method: str, path: str, body: Any, timeout: timedelta) -> ClientResponse:
        began = self._observer.begin() if self._observer is not None else None
        try:
            response = await self._caller.call(method, path, body, timeout=timeout)
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error)) from error
        # A request refused with status 429 or 503 was not executed.
        if self._observer is not None and began is not None and response.status not in (429, 503):
            self._observer.confirm(began)
        if response.status == 429:
            self._rate_limit.drain()
            raise RateLimitedError(f"{method} {path.split('?')[0]}: 429: {response.body}")
        if response.status == 503:
            raise StoreUnavailableError(f"{method} {path.split('?')[0]}: {response.status}")
        return response


def _require_status(response: ClientResponse, expected: int) -> None:
    if response.status != expected:
        log.error("the key-value store sent unexpected status %s: %s", response.status, response.body)
        raise UnknownOutcomeError(f"status {response.status}")


def _decode(response: ClientResponse, kind: type[T], status: int = 200) -> T:
    _require_status(response, status)
    try:
        return msgspec.convert(response.body, kind)
    except msgspec.ValidationError as error:
        log.error("the key-value store sent a malformed response: %s", error)
        raise UnknownOutcomeError(str(error)) from error
