"""The state service's words on the wire."""

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "k", "mod_revision": "stamp", "lease_id": "hold"}):
    key: str
    value: Any
    mod_revision: int
    lease_id: int | None = None


class Page(msgspec.Struct, rename={"items": "pairs", "more": "has_next", "revision": "ledger_rev"}):
    items: list[KeyValue]
    revision: int
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "ledger_rev"}):
    revision: int


class Conflict(msgspec.Struct, rename={"revision": "ledger_rev"}):
    failed: list[str]
    revision: int = 0


class LeaseGrant(msgspec.Struct, rename={"lease_id": "hold"}):
    lease_id: int


class WatchEvents(msgspec.Struct, rename={"revision": "ledger_rev"}):
    revision: int
    news: list[dict[str, Any]] = []


def compare(key: str, mod_revision: int) -> dict[str, Any]:
    return {"k": key, "stamp": mod_revision}


def put(key: str, value: Any, lease_id: int | None = None) -> dict[str, Any]:
    change = {"put": key, "value": value}
    if lease_id is not None:
        change["hold"] = lease_id
    return change


def delete(key: str) -> dict[str, Any]:
    return {"delete": key}
