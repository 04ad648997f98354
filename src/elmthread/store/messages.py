"""The state service's words on the wire."""

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "k"}):
    key: str
    value: Any
    stamp: int
    hold: int | None = None


class Page(msgspec.Struct, rename={"items": "pairs", "more": "has_next", "revision": "ledger_rev"}):
    items: list[KeyValue]
    revision: int
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "ledger_rev"}):
    revision: int


class Conflict(msgspec.Struct, rename={"revision": "ledger_rev"}):
    failed: list[str]
    revision: int = 0


class LeaseGrant(msgspec.Struct):
    hold: int


class WatchEvents(msgspec.Struct, rename={"revision": "ledger_rev"}):
    revision: int
    news: list[dict[str, Any]] = []


def guard(key: str, stamp: int) -> dict[str, Any]:
    return {"k": key, "stamp": stamp}


def put(key: str, value: Any, hold: int | None = None) -> dict[str, Any]:
    change = {"put": key, "value": value}
    if hold is not None:
        change["hold"] = hold
    return change


def delete(key: str) -> dict[str, Any]:
    return {"delete": key}
