"""Stand-ins for the state service and the cloud, written from the protocol, in process."""

import asyncio
import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

from elmthread.net.http_client import ClientResponse, NoResponseError, NotSentError
from tests.world.loop import SimLoop


@dataclass
class Trouble:
    """What befalls the exchanges between one node and one service."""

    cut: bool = False  # requests hang
    refused: bool = False  # 503 to this node alone
    dead: bool = False  # the node's process is no more
    testament: bool = False  # what it had sent when it died arrives all the same
    twice: float = 0.0  # share of changes that are carried out a second time, later
    lost: float = 0.0  # share of answers lost after the request was carried out
    late: float = 0.0  # share of requests carried out only after the caller gave up
    reset: bool = False  # connections are reset at once
    slow_to: float = 0.0  # how much later requests arrive, in seconds
    slow_from: float = 0.0  # how much later answers arrive, in seconds


class Port:
    """One node's way to a service."""

    def __init__(self, service: "Service", trouble: Trouble) -> None:
        self._service = service
        self.trouble = trouble

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout: timedelta,
        precondition: Callable[[], bool] | None = None,
    ) -> ClientResponse:
        loop = self._service.loop
        end = loop.now + timeout.total_seconds()
        trouble = self.trouble
        await asyncio.sleep(self._service.delay())
        if precondition is not None and not precondition():
            raise NotSentError(path)
        if trouble.dead:
            # The process is gone, but what it had sent may still arrive.
            if trouble.testament:
                loop.call_later(self._service.rng.uniform(0.0, 6.0), self._service.apply, method, path, body)
            await asyncio.Event().wait()
        if trouble.reset:
            raise NoResponseError("reset")
        if trouble.slow_to:
            await asyncio.sleep(trouble.slow_to)
            if loop.now >= end:
                loop.call_soon(self._service.apply, method, path, body)
                raise NoResponseError("late")
        if trouble.cut:
            await asyncio.sleep(max(0.0, end - loop.now))
            raise NoResponseError("cut")
        if trouble.refused or self._service.down:
            return ClientResponse(503, {"error": "trouble"})
        rng = self._service.rng
        if rng.random() < trouble.late:
            loop.call_later(end - loop.now + rng.uniform(0.0, 20.0), self._service.apply, method, path, body)
            await asyncio.sleep(max(0.0, end - loop.now))
            raise NoResponseError("late")
        if method != "GET" and rng.random() < trouble.twice:
            loop.call_later(rng.uniform(0.1, 30.0), self._service.apply, method, path, body)
        try:
            async with asyncio.timeout(max(0.001, end - loop.now)):
                answer = await self._service.serve(method, path, body)
        except TimeoutError:
            raise NoResponseError("timeout") from None
        if rng.random() < trouble.lost:
            await asyncio.sleep(max(0.0, end - loop.now))
            raise NoResponseError("answer lost")
        if trouble.slow_from:
            await asyncio.sleep(trouble.slow_from)
            if loop.now >= end:
                raise NoResponseError("answer late")
        await asyncio.sleep(self._service.delay())
        if trouble.dead:
            await asyncio.Event().wait()
        return answer


class Service:
    def __init__(self, loop: SimLoop, rng: random.Random, latency: float) -> None:
        self.loop = loop
        self.rng = rng
        self.latency = latency
        self.down = False

    def delay(self) -> float:
        return self.latency * self.rng.uniform(0.3, 1.0)

    async def serve(self, method: str, path: str, body: Any) -> ClientResponse:
        return self.apply(method, path, body)

    def apply(self, method: str, path: str, body: Any) -> ClientResponse:
        raise NotImplementedError


class StateStore(Service):
    """Keys, stamps, guarded transactions, grants and watches."""

    def __init__(
        self, loop: SimLoop, rng: random.Random, most_ops: int, value_bytes: int, write_rps: float = math.inf
    ) -> None:
        super().__init__(loop, rng, 0.004)
        self.write_rps = self.level = write_rps
        self.level_at = loop.now
        # Transactions refused as beyond the rate of changes, and the largest number of pages.
        self.too_many = 0
        self.revision = 1
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.grants: dict[int, tuple[float, float]] = {}  # ttl, end
        self.next_grant = 1
        self.changes: list[tuple[int, str]] = []
        self.most_ops = most_ops
        self.value_bytes = value_bytes
        self.changed = asyncio.Event()
        self.bad_requests: list[str] = []

    def values(self) -> dict[str, Any]:
        """What stands in it, by key."""
        return {key: value for key, (value, _, _) in self.items.items()}

    def expire(self) -> None:
        if self.down:
            return
        for grant, (_, end) in list(self.grants.items()):
            if self.loop.now >= end:
                self._end(grant)

    def _end(self, grant: int) -> None:
        del self.grants[grant]
        gone = [key for key, (_, _, lease_id) in self.items.items() if lease_id == grant]
        if gone:
            self.revision += 1
        for key in gone:
            del self.items[key]
            self._note(key)

    def _note(self, key: str) -> None:
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
            news = [
                {"put": key} if key in self.items else {"delete": key}
                for revision, key in self.changes
                if revision > int(query["since"]) and key.startswith(query["starts"])
            ]
            if (news and not self.down) or self.loop.now >= end:
                return ClientResponse(200, {"ledger_rev": self.revision, "news": news})
            # Grants end by time alone, so a look now and then is needed besides the event.
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
        if parts.path == "/grants":
            grant, ttl = self.next_grant, body["ttl_ms"] / 1000
            self.next_grant += 1
            self.grants[grant] = (ttl, self.loop.now + ttl)
            return ClientResponse(200, {"hold": grant})
        if parts.path.startswith("/grants/"):
            grant = int(parts.path.split("/")[2])
            if grant not in self.grants:
                return ClientResponse(404, {})
            if method == "DELETE":
                self._end(grant)
            else:
                ttl = self.grants[grant][0]
                self.grants[grant] = (ttl, self.loop.now + ttl)
            return ClientResponse(200, {})
        return ClientResponse(400, {"error": "malformed"})

    def _page(self, query: dict[str, str]) -> ClientResponse:
        after = query.get("since", "")
        keys = sorted(key for key in self.items if key.startswith(query["starts"]) and key > after)
        most = int(query["most"])
        pairs = [{"k": key, "value": self.items[key][0], "stamp": self.items[key][1]} for key in keys[:most]]
        return ClientResponse(200, {"pairs": pairs, "has_next": len(keys) > most, "ledger_rev": self.revision})

    def limit(self, value_kb: float, txn_ops: int, write_rps: float) -> None:
        """New limits, from now on and without notice; what is stored stays as it is."""
        self.value_bytes, self.most_ops = int(value_kb * 1024), txn_ops
        self.write_rps, self.level = write_rps, min(self.level, write_rps)

    def _within_rate(self, changes: int) -> bool:
        if self.write_rps == math.inf:
            return True
        now = self.loop.now
        self.level = min(self.write_rps, self.level + (now - self.level_at) * self.write_rps)
        self.level_at = now
        if self.level < changes:
            return False
        self.level -= changes
        return True

    def _transact(self, body: Any) -> ClientResponse:
        then = body.get("then", [])
        if len(then) > self.most_ops or len(body["guards"]) > 4 * self.most_ops:
            self.bad_requests.append("too many operations")
            return ClientResponse(400, {"error": "too many operations"})
        for change in then:
            if "put" in change and len(json.dumps(change["value"], separators=(",", ":"))) > self.value_bytes:
                self.bad_requests.append("value too large")
                return ClientResponse(400, {"error": "value too large"})
            if change.get("hold") is not None and change["hold"] not in self.grants:
                return ClientResponse(400, {"error": "no such lease"})
        if not self._within_rate(len(then)):
            self.too_many += 1
            return ClientResponse(429, {"error": "too many changes"})
        failed = [
            one["k"]
            for one in body["guards"]
            if (self.items[one["k"]][1] if one["k"] in self.items else 0) != one["stamp"]
        ]
        if failed:
            return ClientResponse(409, {"failed": failed, "ledger_rev": self.revision})
        if then:
            self.revision += 1
        for change in then:
            if "put" in change:
                self.items[change["put"]] = (change["value"], self.revision, change.get("hold"))
                self._note(change["put"])
            elif self.items.pop(change["delete"], None) is not None:
                self._note(change["delete"])
        return ClientResponse(200, {"ledger_rev": self.revision})


@dataclass
class Rented:
    name: str
    machine_type: str
    zone: str
    spot: bool
    since: float
    up_at: float
    state: str = "starting"
    listed_at: float = 0.0


@dataclass
class CloudStand(Service):
    """Rents machines of given types, with a lagging list."""

    loop: SimLoop
    rng: random.Random
    types: list[dict[str, Any]]
    lag: float
    capacity: dict[tuple[str, str, bool], int]
    latency: float = 0.05
    down: bool = False
    machines: dict[str, Rented] = field(default_factory=dict)
    requests: dict[str, list[str]] = field(default_factory=dict)
    taken: list[tuple[float, str]] = field(default_factory=list)
    deleted: list[str] = field(default_factory=list)
    born: Any = None  # called with each machine that comes up
    ended: Any = None  # called with the name of each that is gone
    next_name: int = 1
    quick: bool = False  # machines are up within two seconds

    def add(self, machine_type: str, zone: str, spot: bool, boot: float) -> Rented:
        name = f"m-{self.next_name:06d}"
        self.next_name += 1
        machine = Rented(name, machine_type, zone, spot, self.loop.now, self.loop.now + boot)
        machine.listed_at = self.loop.now + self.lag
        self.machines[name] = machine
        self.loop.call_later(boot, self._up, machine)
        return machine

    def _up(self, machine: Rented) -> None:
        if machine.name in self.machines and machine.state == "starting":
            machine.state = "running"
            self.born(machine)

    def apply(self, method: str, path: str, body: Any) -> ClientResponse:
        parts = urlsplit(path)
        if parts.path == "/flavors":
            return ClientResponse(200, {"builds": self.types})
        if parts.path == "/hosts/delete":
            for name in body["looms"]:
                if self.machines.pop(name, None) is not None:
                    self.deleted.append(name)
                    self.ended(name)
            return ClientResponse(200, {})
        if method == "POST":
            return self._rent(body)
        return self._list(parse_qs(parts.query))

    def _rent(self, body: Any) -> ClientResponse:
        if body["hire"] in self.requests:
            return ClientResponse(200, {"looms": self.requests[body["hire"]]})
        kind = (body["build"], body["yard"], body["loaners"])
        used = sum(1 for m in self.machines.values() if (m.machine_type, m.zone, m.spot) == kind)
        count = min(body["how_many"], self.capacity.get(kind, 0) - used)
        if count <= 0:
            return ClientResponse(503, {"error": "no capacity"})
        boot = next(kind["ready_s"] for kind in self.types if kind["name"] == body["build"])
        if self.quick:
            boot = 1.3
        names = [self.add(*kind, boot * self.rng.uniform(0.6, 1.5)).name for _ in range(count)]
        self.requests[body["hire"]] = names
        return ClientResponse(200, {"looms": names})

    def _list(self, query: dict[str, list[str]]) -> ClientResponse:
        after = query.get("since", [""])[0]
        shown = [
            {
                "name_id": m.name,
                "endpoint": f"10.1.0.{int(m.name[2:])}:9000",
                "build": m.machine_type,
                "yard": m.zone,
                "loaners": m.spot,
                "status": m.state,
                "held_s": self.loop.now - m.since,
            }
            for m in self.machines.values()
            if m.listed_at <= self.loop.now and m.name > after
        ]
        return ClientResponse(200, {"looms": shown, "has_next": False})
