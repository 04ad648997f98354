"""Messages of the key-value store's protocol; `rename` maps fields to their names on the wire."""

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "k", "mod_revision": "stamp", "lease_id": "hold"}):
    """A key with its value, the revision that last changed it, and the lease that it expires with."""

    key: str
    value: Any
    mod_revision: int
    lease_id: int | None = None


class RangePage(msgspec.Struct, rename={"items": "pairs", "more": "has_next", "revision": "ledger_rev"}):
    """A page of the keys under a prefix, in order, as of `revision`; `more` tells whether others follow."""

    items: list[KeyValue]
    revision: int
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "ledger_rev"}):
    """The revision at which a transaction was executed."""

    revision: int


class Conflict(msgspec.Struct, rename={"revision": "ledger_rev"}):
    """The keys whose comparison failed; nothing was changed."""

    failed: list[str]
    revision: int = 0


class LeaseGrant(msgspec.Struct, rename={"lease_id": "hold"}):
    """A new lease."""

    lease_id: int


class WatchEvents(msgspec.Struct, rename={"revision": "ledger_rev", "events": "news"}):
    """The changes under a prefix up to `revision`; no events if the watch timed out."""

    revision: int
    events: list[dict[str, Any]] = []


class Comparison(msgspec.Struct, frozen=True, rename={"key": "k", "mod_revision": "stamp"}):
    """A condition of a transaction: the key was last changed at `mod_revision`, or does not exist if that is 0."""

    key: str
    mod_revision: int


class Put(msgspec.Struct, frozen=True, omit_defaults=True, rename={"key": "put", "lease_id": "hold"}):
    """An operation of a transaction: sets the key, which expires with the lease if there is one."""

    key: str
    value: Any
    lease_id: int | None = None


class Transaction(msgspec.Struct, frozen=True, rename={"comparisons": "guards", "operations": "then"}):
    """Operations that are executed together, and only if all comparisons hold."""

    comparisons: list[Comparison]
    operations: list[Put]


def compare(key: str, mod_revision: int) -> Comparison:
    """Return the condition that the key was last changed at `mod_revision`, or does not exist if that is 0."""
    return Comparison(key, mod_revision)


def put(key: str, value: Any, lease_id: int | None = None) -> Put:
    """Return the operation that sets the key, which expires with the lease if one is given."""
    return Put(key, value, lease_id)
