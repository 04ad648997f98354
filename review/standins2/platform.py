"""The state service and the cloud, written from PROTOCOL-elmthread.md; both behave as a sound platform does."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MAX_ITEMS, MAX_BYTES, MAX_CHANGES = 1000, 512 * 1024, 10_000


def json_bytes(value: Any) -> int:
    """Return the size of a value as the pages count it."""
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


@dataclass
class Rate:
    """A rate limit with bursts of one second's worth."""

    per_s: float
    tokens: float = 0.0
    at: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        self.tokens = self.per_s

    def take(self, count: int = 1) -> bool:
        now = time.monotonic()
        self.tokens = min(self.per_s, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    """Keys with stamps, transactions, grants and watches."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self._requests, self._writes = Rate(rps), Rate(write_rps)
        self._value_bytes, self._txn_ops = int(value_kb * 1024), txn_ops
        self.revision = 1
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self._grants: dict[int, tuple[float, float]] = {}
        self._last_grant = 0
        self._changes: list[tuple[int, str]] = []
        self._changed = asyncio.Event()
        self.refused_transactions: list[str] = []

    def _expire(self) -> None:
        now = time.monotonic()
        for grant in [grant for grant, (_, end) in self._grants.items() if now >= end]:
            self._end(grant)

    def _end(self, grant: int) -> None:
        del self._grants[grant]
        keys = [key for key, (_, _, hold) in self.items.items() if hold == grant]
        if keys:
            self.revision += 1
        for key in keys:
            del self.items[key]
            self._note(key)

    def _note(self, key: str) -> None:
        self._changes.append((self.revision, key))
        del self._changes[:-MAX_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Answer one request."""
        self._expire()
        if not self._requests.take():
            return 429, {"error": "too many requests"}
        if path == "/watch":
            return await self._watch(query)
        if path == "/txn":
            return self._transact(body)
        if path == "/store":
            return self._page(query)
        if path.startswith("/store/"):
            key = path.removeprefix("/store/")
            if key not in self.items:
                return 404, {"ledger_rev": self.revision}
            value, stamp, hold = self.items[key]
            return 200, {"k": key, "value": value, "stamp": stamp, "hold": hold}
        if path == "/grants":
            self._last_grant += 1
            ttl = body["ttl_ms"] / 1000
            self._grants[self._last_grant] = (ttl, time.monotonic() + ttl)
            return 200, {"hold": self._last_grant}
        grant = int(path.split("/")[2])
        if grant not in self._grants:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(grant)
        else:
            ttl = self._grants[grant][0]
            self._grants[grant] = (ttl, time.monotonic() + ttl)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        since, prefix = int(query["since"]), query["starts"]
        end = time.monotonic() + min(60_000, int(query.get("block_ms", "0"))) / 1000
        while True:
            self._expire()
            news = [self._news(key) for stamp, key in self._changes if stamp > since and key.startswith(prefix)]
            if news or time.monotonic() >= end:
                return 200, {"ledger_rev": self.revision, "news": news}
            try:
                async with asyncio.timeout(min(0.05, max(0.001, end - time.monotonic()))):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _news(self, key: str) -> dict[str, Any]:
        if key not in self.items:
            return {"delete": key, "stamp": self.revision}
        value, stamp, _ = self.items[key]
        return {"put": key, "value": value, "stamp": stamp}

    def _page(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, since, most = query.get("starts", ""), query.get("since", ""), int(query.get("most", MAX_ITEMS))
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > since)
        pairs: list[Any] = []
        size = 0
        for key in keys[: min(most, MAX_ITEMS)]:
            value, stamp, _ = self.items[key]
            size += json_bytes(value) + len(key) + 40
            if pairs and size > MAX_BYTES:
                break
            pairs.append({"k": key, "value": value, "stamp": stamp})
        return 200, {"pairs": pairs, "has_next": len(keys) > len(pairs), "ledger_rev": self.revision}

    def _transact(self, body: Any) -> tuple[int, Any]:
        guards, changes = body.get("guards", []), body.get("then", [])
        problem = self._problem(body, guards, changes)
        if problem is not None:
            self.refused_transactions.append(problem)
            return 400, {"error": problem}
        if not self._writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        failed = [one["k"] for one in guards if self.items.get(one["k"], (None, 0, None))[1] != one["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "put" in change:
                self.items[change["put"]] = (change["value"], self.revision, change.get("hold"))
                self._note(change["put"])
            elif self.items.pop(change["delete"], None) is not None:
                self._note(change["delete"])
        return 200, {"ledger_rev": self.revision}

    def _problem(self, body: Any, guards: list[Any], changes: list[Any]) -> str | None:
        if len(changes) > self._txn_ops or len(guards) > 4 * self._txn_ops or json_bytes(body) > 64 * 1024:
            return "too large"
        for change in changes:
            if "put" in change and json_bytes(change["value"]) > self._value_bytes:
                return "value too large"
            if change.get("hold") is not None and change["hold"] not in self._grants:
                return "no such lease"
        return None


@dataclass
class Host:
    """A machine of the cloud."""

    name: str
    build: str
    yard: str
    loaners: bool
    made_at: float
    status: str = "running"


class Cloud:
    """Rents machines, of which it has as many of each (type, zone, spot) as `capacity` says."""

    def __init__(self, builds: list[dict[str, Any]], rps: float, list_lag_s: float) -> None:
        self._builds, self._lag_s = builds, list_lag_s
        self._requests = Rate(rps * 2)
        self._requests.per_s = rps
        self.hosts: dict[str, Host] = {}
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self._hires: dict[str, list[str]] = {}
        self._taken: list[tuple[float, Host]] = []
        self._last = 0
        self.on_up: Callable[[Host], None] = lambda host: None
        self.on_gone: Callable[[str], None] = lambda name: None

    def add(self, build: str, yard: str, loaners: bool, boot_s: float = 0.0) -> Host:
        """Add a machine that is up after `boot_s`."""
        self._last += 1
        made_at = time.monotonic() - (0 if boot_s else 120)
        host = Host(f"m-{self._last:06d}", build, yard, loaners, made_at, "starting")
        self.hosts[host.name] = host
        asyncio.get_running_loop().call_later(boot_s, self._up, host)
        return host

    def take(self, name: str) -> None:
        """Take a spot machine back without notice; the list, which lags, names it for a while."""
        self._taken.append((time.monotonic(), self.hosts.pop(name)))
        self.on_gone(name)

    def _up(self, host: Host) -> None:
        if host.name in self.hosts:
            host.status = "running"
            self.on_up(host)

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Answer one request."""
        if not self._requests.take():
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"builds": self._builds}
        if path == "/hosts/delete":
            for name in body["looms"]:
                if self.hosts.pop(name, None) is not None:
                    self.on_gone(name)
            return 200, {}
        if method == "POST":
            return self._rent(body)
        return self._list(query)

    def _rent(self, body: Any) -> tuple[int, Any]:
        if body["hire"] in self._hires:
            return 200, {"looms": self._hires[body["hire"]]}
        kind = (body["build"], body["yard"], body["loaners"])
        used = sum((one.build, one.yard, one.loaners) == kind for one in self.hosts.values())
        count = min(body["how_many"], 50, self.capacity.get(kind, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        ready_s = next(one["ready_s"] for one in self._builds if one["name"] == body["build"])
        names = [self.add(*kind, boot_s=ready_s).name for _ in range(count)]
        self._hires[body["hire"]] = names
        return 200, {"looms": names}

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        now = time.monotonic()
        listed = [one for one in self.hosts.values() if one.made_at + self._lag_s <= now]
        listed += [one for at, one in self._taken if at + self._lag_s > now]
        listed = sorted((one for one in listed if one.name > query.get("since", "")), key=lambda one: one.name)
        most = min(500, int(query.get("most", 500)))
        looms = [
            {
                "name_id": one.name,
                "endpoint": "127.0.0.1:1",
                "build": one.build,
                "yard": one.yard,
                "loaners": one.loaners,
                "status": one.status,
                "held_s": now - one.made_at,
            }
            for one in listed[:most]
        ]
        return 200, {"looms": looms, "has_next": len(listed) > most}
