"""Stand-ins for the state service and the cloud, written from PROTOCOL."""

import asyncio
import json
import time

from review.standins.wire import LOOPBACK


class Bucket:
    """A rate limit that allows a burst of `burst_s` seconds' worth."""

    def __init__(self, rate, burst_s):
        self.rate, self.most = rate, rate * burst_s
        self.level, self.at = self.most, time.monotonic()

    def take(self, count=1.0):
        now = time.monotonic()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    """The store: keys with stamps, transactions with guards, grants and watches, and its limits."""

    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.requests, self.writes = Bucket(rps, 1.0), Bucket(write_rps, 1.0)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.revision = 1
        self.items = {}  # key -> (value, stamp, grant)
        self.grants = {}  # grant -> [ttl in seconds, end]
        self.last_grant = 0
        self.news = []  # (revision, event)
        self.changed = asyncio.Event()
        self.counts = {}

    def _notify(self, event):
        self.news.append((self.revision, event))
        del self.news[:-10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    def _end(self, grant):
        del self.grants[grant]
        keys = [key for key, item in self.items.items() if item[2] == grant]
        if keys:
            self.revision += 1
        for key in keys:
            del self.items[key]
            self._notify({"delete": key, "stamp": self.revision})

    def expire(self):
        for grant, (_, end) in list(self.grants.items()):
            if time.monotonic() >= end:
                self._end(grant)

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    async def handle(self, method, path, query, body):
        self.expire()
        await asyncio.sleep(0.002)
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        if path == "/watch":
            return await self._watch(query)
        if path == "/store":
            return 200, self._page(query)
        if path.startswith("/store/"):
            key = path.removeprefix("/store/")
            if key not in self.items:
                return 404, {"ledger_rev": self.revision}
            value, stamp, grant = self.items[key]
            return 200, {"k": key, "value": value, "stamp": stamp, "hold": grant}
        if path == "/txn":
            return self._transact(body)
        return self._grant(method, path, body)

    def _grant(self, method, path, body):
        now = time.monotonic()
        if path == "/grants":
            self.last_grant += 1
            self.grants[self.last_grant] = [body["ttl_ms"] / 1000, now + body["ttl_ms"] / 1000]
            return 200, {"hold": self.last_grant}
        grant = int(path.split("/")[2])
        if grant not in self.grants:
            return 404, {}
        if method == "DELETE":
            self._end(grant)
        else:
            self.grants[grant][1] = now + self.grants[grant][0]
        return 200, {}

    def _page(self, query):
        keys = sorted(k for k in self.items if k.startswith(query.get("starts", "")) and k > query.get("since", ""))
        pairs, size = [], 0
        for key in keys[: min(int(query.get("most", 1000)), 1000)]:
            value, stamp, grant = self.items[key]
            pair = {"k": key, "value": value, "stamp": stamp, "hold": grant}
            size += len(json.dumps(pair))
            if pairs and size > 512 * 1024:
                break
            pairs.append(pair)
        return {"pairs": pairs, "has_next": len(pairs) < len(keys), "ledger_rev": self.revision}

    def _transact(self, body):
        guards, changes = body.get("guards", []), body.get("then", [])
        if len(changes) > self.txn_ops or len(guards) > 4 * self.txn_ops or len(json.dumps(body)) > 64 * 1024:
            return 400, {"error": "too large"}
        for change in changes:
            if "put" in change and len(json.dumps(change["value"], separators=(",", ":"))) > self.value_bytes:
                return 400, {"error": "value too large"}
            if change.get("hold") is not None and change["hold"] not in self.grants:
                return 400, {"error": "no such lease"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        failed = [g["k"] for g in guards if (self.items[g["k"]][1] if g["k"] in self.items else 0) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "put" in change:
                self.items[change["put"]] = (change["value"], self.revision, change.get("hold"))
                self._notify({"put": change["put"], "value": change["value"], "stamp": self.revision})
            elif self.items.pop(change["delete"], None) is not None:
                self._notify({"delete": change["delete"], "stamp": self.revision})
        return 200, {"ledger_rev": self.revision}

    async def _watch(self, query):
        since, prefix = int(query["since"]), query.get("starts", "")
        end = time.monotonic() + int(query.get("block_ms", 0)) / 1000
        while True:
            if self.news and len(self.news) == 10_000 and self.news[0][0] > since + 1:
                return 410, {}
            events = [
                event
                for revision, event in self.news
                if revision > since and (event.get("put") or event.get("delete")).startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger_rev": self.revision, "news": events}
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass


class Cloud:
    """Rents machines; `on_up(machine)` and `on_gone(name)` start and end their workers."""

    def __init__(self, types, capacity, rps, list_lag_s, on_up, on_gone):
        self.types, self.capacity, self.list_lag_s = types, capacity, list_lag_s
        self.requests = Bucket(rps, 2.0)
        self.on_up, self.on_gone = on_up, on_gone
        self.machines, self.hires, self.last = {}, {}, 0

    def add(self, build, yard, loaners, boot_s, listed=False):
        self.last += 1
        now = time.monotonic()
        machine = {
            "name_id": f"m-{self.last:06d}",
            "endpoint": f"{LOOPBACK}:9",
            "build": build,
            "yard": yard,
            "loaners": loaners,
            "status": "starting",
            "since": now,
            "listed_at": now if listed else now + self.list_lag_s,
        }
        self.machines[machine["name_id"]] = machine
        if boot_s <= 0:
            self._up(machine)
        else:
            asyncio.get_running_loop().call_later(boot_s, self._up, machine)
        return machine

    def _up(self, machine):
        if machine["name_id"] in self.machines:
            machine["status"] = "running"
            self.on_up(machine)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.02)
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"builds": self.types}
        if path == "/hosts/delete":
            for name in body["looms"]:
                if self.machines.pop(name, None) is not None:
                    self.on_gone(name)
            return 200, {}
        if method == "POST":
            return self._hire(body)
        now = time.monotonic()
        shown = [m for n, m in sorted(self.machines.items()) if m["listed_at"] <= now and n > query.get("since", "")]
        most = min(int(query.get("most", 500)), 500)
        looms = [
            {k: v for k, v in m.items() if k not in ("since", "listed_at")} | {"held_s": now - m["since"]}
            for m in shown[:most]
        ]
        return 200, {"looms": looms, "has_next": len(shown) > most}

    def _hire(self, body):
        if body["hire"] in self.hires:
            return 200, {"looms": self.hires[body["hire"]]}
        kind = (body["build"], body["yard"], body["loaners"])
        used = sum((m["build"], m["yard"], m["loaners"]) == kind for m in self.machines.values())
        count = min(body["how_many"], self.capacity.get(kind, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        boot_s = next(t["ready_s"] for t in self.types if t["name"] == body["build"])
        names = [self.add(*kind, boot_s)["name_id"] for _ in range(count)]
        self.hires[body["hire"]] = names
        return 200, {"looms": names}
