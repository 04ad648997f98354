"""The simulated cloud, implemented from the protocol."""

import random
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from elmthread.net.http_client import ClientResponse
from tests.world.loop import SimLoop
from tests.world.service_ports import Service


@dataclass
class SimulatedMachine:
    name: str
    machine_type: str
    zone: str
    spot: bool
    created_at: float
    up_at: float
    state: str = "starting"
    listed_at: float = 0.0


@dataclass
class SimulatedCloud(Service):
    """Provides machines of given types; a new machine appears in its list after `list_lag_s` seconds."""

    loop: SimLoop
    rng: random.Random
    types: list[dict[str, Any]]
    list_lag_s: float
    capacity: dict[tuple[str, str, bool], int]
    latency: float = 0.05
    down: bool = False
    machines: dict[str, SimulatedMachine] = field(default_factory=dict)
    requests: dict[str, list[str]] = field(default_factory=dict)
    taken: list[tuple[float, str]] = field(default_factory=list)
    deleted: list[str] = field(default_factory=list)
    on_running: Any = None  # called with each machine that has booted
    on_deleted: Any = None  # called with the name of each deleted machine
    next_name: int = 1
    fast_boot: bool = False  # machines boot within two seconds

    def add(self, machine_type: str, zone: str, spot: bool, boot: float) -> SimulatedMachine:
        name = f"m-{self.next_name:06d}"
        self.next_name += 1
        machine = SimulatedMachine(name, machine_type, zone, spot, self.loop.now, self.loop.now + boot)
        machine.listed_at = self.loop.now + self.list_lag_s
        self.machines[name] = machine
        self.loop.call_later(boot, self._finish_boot, machine)
        return machine

    def _finish_boot(self, machine: SimulatedMachine) -> None:
        if machine.name in self.machines and machine.state == "starting":
            machine.state = "running"
            self.on_running(machine)

    def apply(self, method: str, path: str, body: Any) -> ClientResponse:
        parts = urlsplit(path)
        if parts.path == "/flavors":
            return ClientResponse(200, {"builds": self.types})
        if parts.path == "/hosts/delete":
            for name in body["looms"]:
                if self.machines.pop(name, None) is not None:
                    self.deleted.append(name)
                    self.on_deleted(name)
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
        if self.fast_boot:
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
                "held_s": self.loop.now - m.created_at,
            }
            for m in self.machines.values()
            if m.listed_at <= self.loop.now and m.name > after
        ]
        return ClientResponse(200, {"looms": shown, "has_next": False})
