"""Faults of single links, from schedules that can be drawn from a seed, written to a file and replayed.

A link leads from a source to a target; each direction is a separate link. The same schedules run in the
simulated world and in `tools/cut_links.py`.
"""

import asyncio
import random
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import jsonschema

STORE, WORKERS, PEERS, LEADER, FOLLOWER = "store", "workers", "peers", "leader", "follower"
FAULT_KINDS = ("drop", "delay", "duplicate", "reset", "refuse")
ENDPOINT = {"type": "string", "pattern": f"^({STORE}|{WORKERS}(/[a-z-]+)?|{PEERS}|{LEADER}|{FOLLOWER}|[a-z]+-[0-9]+)$"}
SECONDS = {"type": "number", "minimum": 0, "maximum": 86400}
FAULT = {
    "type": "object",
    "required": ["at_s", "for_s", "from", "to"],
    "additionalProperties": False,
    "properties": {
        "at_s": SECONDS,
        "for_s": SECONDS,
        "from": ENDPOINT,
        "to": ENDPOINT,
        "kind": {"enum": list(FAULT_KINDS)},
        # Whether both directions are affected, or only traffic from the source to the target.
        "both": {"type": "boolean"},
        "delay_s": SECONDS,
        # An intermittent fault: active for `on_s`, then inactive for `off_s`, repeatedly until `for_s` is over.
        "on_s": SECONDS,
        "off_s": SECONDS,
    },
}
SCHEMA = {
    "type": "object",
    "required": ["faults"],
    "additionalProperties": False,
    "properties": {"faults": {"type": "array", "items": FAULT}, "jobs": {"type": "integer", "minimum": 0}},
}
Fault = dict[str, Any]
# Called with "begins" or "ends", the fault, and the affected links.
FaultCallback = Callable[[str, Fault, list[tuple[str, str]]], None]


class InvalidScheduleError(Exception):
    """A schedule is invalid; the message names the field."""


def check_schedule(schedule: Any) -> list[Fault]:
    """Return the faults of a schedule. Raises InvalidScheduleError."""
    error = jsonschema.exceptions.best_match(jsonschema.Draft202012Validator(SCHEMA).iter_errors(schedule))
    if error is not None:
        field = ".".join(map(str, error.absolute_path)) or "the schedule"
        raise InvalidScheduleError(f"{field}: {error.message}")
    faults: list[Fault] = schedule["faults"]
    for number, fault in enumerate(faults):
        if ("on_s" in fault) != ("off_s" in fault) or fault.get("on_s", 1) + fault.get("off_s", 1) < 0.1:
            raise InvalidScheduleError(f"faults.{number}: on_s and off_s belong together and last 0.1 s at least")
        if fault.get("kind") == "delay" and "delay_s" not in fault:
            raise InvalidScheduleError(f"faults.{number}: a delay needs delay_s")
    return faults


def read_schedule(path: Path) -> list[Fault]:
    """Return the faults in a file. Raises InvalidScheduleError, naming the file and the field."""
    try:
        return check_schedule(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, InvalidScheduleError) as error:
        raise InvalidScheduleError(f"{path}: {error}") from error


def active_periods(fault: Fault) -> list[tuple[float, float]]:
    """Return the periods in which the fault is active, as pairs of begin and end."""
    end = fault["at_s"] + fault["for_s"]
    if "on_s" not in fault:
        return [(fault["at_s"], end)]
    found, at = [], fault["at_s"]
    while at < end:
        found.append((at, min(end, at + fault["on_s"])))
        at += fault["on_s"] + fault["off_s"]
    return found


def draw_schedule(seed: int, links: Iterable[tuple[str, str]], count: int, length: float) -> list[Fault]:
    """Draw random faults of these links that all end within `length` seconds."""
    rng = random.Random(seed)
    sorted_links = sorted(links)
    faults: list[Fault] = []
    for _ in range(count):
        source, target = rng.choice(sorted_links)
        at = round(rng.uniform(0.0, length / 2), 2)
        fault: Fault = {"at_s": at, "for_s": round(rng.uniform(1.0, length - at), 2), "from": source, "to": target}
        fault |= {
            "kind": rng.choice(FAULT_KINDS),
            "both": rng.random() < 0.6,
            "delay_s": round(rng.uniform(0.1, 6.0), 2),
        }
        if rng.random() < 0.4:
            fault |= {"on_s": round(rng.uniform(0.5, 12.0), 2), "off_s": round(rng.uniform(0.1, 10.0), 2)}
        faults.append(fault)
    return faults


class LinkFaults:
    """The faults that each link has now; each direction is a separate link."""

    def __init__(self) -> None:
        self._active: list[tuple[str, str, str, float]] = []
        # Whether a fault ever began. Until then, the faults of store clients stay as tests have set them.
        self.used = False

    def begin(self, source: str, target: str, fault: Fault) -> list[tuple[str, str, str, float]]:
        """Begin a fault between two resolved endpoints; return the argument with which `end` ends it."""
        kind, delay = fault.get("kind", "drop"), fault.get("delay_s", 0.0)
        begun = [(source, target, kind, delay)]
        if fault.get("both", False):
            begun.append((target, source, kind, delay))
        self._active += begun
        self.used = True
        return begun

    def end(self, begun: list[tuple[str, str, str, float]]) -> None:
        """End a fault."""
        for one in begun:
            self._active.remove(one)

    def has(self, kind: str, source: str, target: str) -> bool:
        """Return whether the link has a fault of this kind."""
        return any(
            kind == found and _matches(source, one) and _matches(target, other) for one, other, found, _ in self._active
        )

    def delay(self, source: str, target: str) -> float:
        """Return the delay of the link in seconds."""
        return sum(
            late
            for one, other, kind, late in self._active
            if kind == "delay" and _matches(source, one) and _matches(target, other)
        )

    def passes(self, source: str, target: str) -> bool:
        """Return whether the link delivers anything."""
        return not (self.has("drop", source, target) or self.has("reset", source, target))


def _matches(endpoint: str, pattern: str) -> bool:
    """Return whether an endpoint matches a pattern; `workers` matches those of all zones."""
    return endpoint == pattern or (pattern == WORKERS and endpoint.startswith(f"{WORKERS}/"))


class SchedulePlayer:
    """Plays a schedule on a running loop, in real or simulated time."""

    def __init__(self, faults: LinkFaults, nodes: list[str], leader: Callable[[], str], changed: FaultCallback) -> None:
        """Take a function that returns the leading node, and a callback for each begin and end of a fault."""
        self._faults, self._nodes = faults, nodes
        self._leader, self._changed = leader, changed

    async def play(self, schedule: list[Fault]) -> None:
        """Play all faults, starting now; return when the last has ended."""
        await asyncio.gather(*(self._play_one(fault) for fault in schedule))

    async def _play_one(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for start, end in active_periods(fault):
            await asyncio.sleep(max(0.0, began + start - loop.time()))
            pairs = [(one, two) for one in self._resolve(fault["from"]) for two in self._resolve(fault["to"])]
            begun = [self._faults.begin(one, two, fault) for one, two in pairs if one != two]
            self._changed("begins", fault, pairs)
            await asyncio.sleep(max(0.0, began + end - loop.time()))
            for started in begun:
                self._faults.end(started)
            self._changed("ends", fault, pairs)

    def _resolve(self, endpoint: str) -> list[str]:
        """Return the endpoints that a name in a schedule refers to now."""
        leader = self._leader()
        others = [node for node in self._nodes if node != leader]
        return {LEADER: [leader], FOLLOWER: others[:1], PEERS: others}.get(endpoint, [endpoint])
