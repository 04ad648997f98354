"""The simulated key-value store, implemented from the protocol."""

import asyncio
import json
import math
import random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from elmthread.net.http_client import ClientResponse
from tests.world.loop import SimLoop
from tests.world.service_ports import Service


class SimulatedStore(Service):
    """Keys with revisions, transactions with comparisons, leases (grants) and watches."""

    def __init__(
        self, loop: SimLoop, rng: random.Random, max_changes: int, value_bytes: int, write_rps: float = math.inf
    ) -> None:
        super().__init__(loop, rng, 0.004)
        self.write_rps = self.write_tokens = write_rps
        self.write_tokens_at = loop.now
        # Transactions rejected because they exceed the rate of changes.
        self.rate_limited = 0
        self.revision = 1
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.grants: dict[int, tuple[float, float]] = {}  # ttl, end
        self.next_grant = 1
        self.changes: list[tuple[int, str]] = []
        self.max_changes = max_changes
        self.value_bytes = value_bytes
        self.changed = asyncio.Event()
        self.bad_requests: list[str] = []

    def values(self) -> dict[str, Any]:
        """Return the stored values by key."""
        return {key: value for key, (value, _, _) in self.items.items()}

    def expire(self) -> None:
        if self.down:
            return
        for grant, (_, end) in list(self.grants.items()):
            if self.loop.now >= end:
                self._end_grant(grant)

    def _end_grant(self, grant: int) -> None:
        del self.grants[grant]
        deleted = [key for key, (_, _, lease_id) in self.items.items() if lease_id == grant]
        if deleted:
            self.revision += 1
        for key in deleted:
            del self.items[key]
            self._record_change(key)

    def _record_change(self, key: str) -> None:
        self.changes.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def outage(self, down: bool) -> None:
        if self.down and not down:
            self.grants = {g: (ttl, self.loop.now + ttl) for g, (ttl, _) in self.grants.items()}
        self.down = down

    async def serve(self, method: str, path: str, body: Any) -> ClientResponse:
        if not path.startswith("/watch"):
            return self.apply(method, path, body)
        query = {key: values[0] for key, values in parse_qs(urlsplit(path).query).items()}
        end = self.loop.now + int(query.get("block_ms", "0")) / 1000
        while True:
            self.expire()
            events = [
                {"put": key} if key in self.items else {"delete": key}
                for revision, key in self.changes
                if revision > int(query["since"]) and key.startswith(query["starts"])
            ]
            if (events and not self.down) or self.loop.now >= end:
                return ClientResponse(200, {"ledger_rev": self.revision, "news": events})
            # Grants expire without setting the event, so expiry is polled as well.
            try:
                async with asyncio.timeout(min(0.1, max(0.001, end - self.loop.now))):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def apply(self, method: str, path: str, body: Any) -> ClientResponse:
        self.expire()
        parts = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if method == "GET" and parts.path == "/store":
            return self._page(query)
        if method == "GET" and parts.path.startswith("/store/"):
            key = parts.path.removeprefix("/store/")
            if key not in self.items:
                return ClientResponse(404, {"ledger_rev": self.revision})
            value, mod_revision, lease_id = self.items[key]
            return ClientResponse(200, {"k": key, "value": value, "stamp": mod_revision, "hold": lease_id})
        if parts.path == "/txn":
            return self._transact(body)
        if parts.path == "/grants" or parts.path.startswith("/grants/"):
            return self._change_grant(method, parts.path, body)
        return ClientResponse(400, {"error": "malformed"})

    def _change_grant(self, method: str, path: str, body: Any) -> ClientResponse:
        if path == "/grants":
            grant, ttl = self.next_grant, body["ttl_ms"] / 1000
            self.next_grant += 1
            self.grants[grant] = (ttl, self.loop.now + ttl)
            return ClientResponse(200, {"hold": grant})
        grant = int(path.split("/")[2])
        if grant not in self.grants:
            return ClientResponse(404, {})
        if method == "DELETE":
            self._end_grant(grant)
        else:
            ttl = self.grants[grant][0]
            self.grants[grant] = (ttl, self.loop.now + ttl)
        return ClientResponse(200, {})

    def _page(self, query: dict[str, str]) -> ClientResponse:
        after = query.get("since", "")
        keys = sorted(key for key in self.items if key.startswith(query["starts"]) and key > after)
        page_limit = int(query["most"])
        pairs = [{"k": key, "value": self.items[key][0], "stamp": self.items[key][1]} for key in keys[:page_limit]]
        return ClientResponse(200, {"pairs": pairs, "has_next": len(keys) > page_limit, "ledger_rev": self.revision})

    def set_limits(self, value_kb: float, txn_ops: int, write_rps: float) -> None:
        """Set new limits; values that are stored already stay as they are."""
        self.value_bytes, self.max_changes = int(value_kb * 1024), txn_ops
        self.write_rps, self.write_tokens = write_rps, min(self.write_tokens, write_rps)

    def _within_rate(self, changes: int) -> bool:
        if self.write_rps == math.inf:
            return True
        now = self.loop.now
        self.write_tokens = min(self.write_rps, self.write_tokens + (now - self.write_tokens_at) * self.write_rps)
        self.write_tokens_at = now
        if self.write_tokens < changes:
            return False
        self.write_tokens -= changes
        return True

    def _transact(self, body: Any) -> ClientResponse:
        changes = body.get("then", [])
        error = self._malformed(body["guards"], changes)
        if error is not None:
            return ClientResponse(400, {"error": error})
        if not self._within_rate(len(changes)):
            self.rate_limited += 1
            return ClientResponse(429, {"error": "too many changes"})
        failed = [
            one["k"]
            for one in body["guards"]
            if (self.items[one["k"]][1] if one["k"] in self.items else 0) != one["stamp"]
        ]
        if failed:
            return ClientResponse(409, {"failed": failed, "ledger_rev": self.revision})
        if changes:
            self.revision += 1
        for change in changes:
            if "put" in change:
                self.items[change["put"]] = (change["value"], self.revision, change.get("hold"))
                self._record_change(change["put"])
            elif self.items.pop(change["delete"], None) is not None:
                self._record_change(change["delete"])
        return ClientResponse(200, {"ledger_rev": self.revision})

    def _malformed(self, comparisons: list[Any], changes: list[Any]) -> str | None:
        """Return what is wrong with a transaction; record what a controller must never send."""
        if len(changes) > self.max_changes or len(comparisons) > 4 * self.max_changes:
            self.bad_requests.append("too many operations")
            return "too many operations"
        for change in changes:
            if "put" in change and len(json.dumps(change["value"], separators=(",", ":"))) > self.value_bytes:
                self.bad_requests.append("value too large")
                return "value too large"
            if change.get("hold") is not None and change["hold"] not in self.grants:
                return "no such lease"
        return None
