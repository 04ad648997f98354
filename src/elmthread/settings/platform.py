"""The file that the platform hands over: its fields, checked; unknown ones are ignored."""

import math
import tomllib
from datetime import timedelta
from pathlib import Path

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError


class SettingsError(ElmthreadError):
    """One clear line naming the field that is wrong."""


class Other(msgspec.Struct, rename={"node": "node_name", "zone": "site"}):
    """Another controller."""

    node: str
    zone: str
    address: str


class Endpoints(msgspec.Struct):
    """Where the cloud and the state service are."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """Guarantee and limit of a team; 0 means that there is none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpu_quota(self) -> float:
        """The most cores that the team may use."""
        return self.cpus_max or math.inf

    @property
    def gpu_quota(self) -> float:
        """The most GPUs that the team may use."""
        return self.gpus_max or math.inf


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """What is wanted of a class; `up` is the share of replica time served, from `after_s` on."""

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    after_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, rename={"heartbeat_interval_s": "report_s"}):
    """Times that workers keep to."""

    heartbeat_interval_s: float
    lease_s: float
    cancel_s: float

    @property
    def heartbeat_interval(self) -> timedelta:
        """The usual time between two heartbeats."""
        return seconds(self.heartbeat_interval_s)

    @property
    def lease(self) -> timedelta:
        """How long a worker goes on without an answer."""
        return seconds(self.lease_s)

    @property
    def cancel(self) -> timedelta:
        """How soon after a cancellation is told all tasks must be gone."""
        return seconds(self.cancel_s)


class NextState(msgspec.Struct):
    """Limits that the state service will have from some moment on; what is absent does not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextState | None = None

    def kept(self) -> "State":
        """The stricter of each limit now and next, which this version keeps from its start.

        The moment of the change comes without notice: what keeps both never has to notice it,
        and no transaction that is under way then becomes one that is refused.
        """
        if self.next is None:
            return self
        limits = {
            name: min(value, getattr(self, name))
            for name in ("rps", "write_rps", "value_kb", "txn_ops")
            if (value := getattr(self.next, name)) is not None
        }
        return msgspec.structs.replace(self, **limits)


class Cloud(msgspec.Struct):
    """Limits of the cloud."""

    rps: float
    list_lag_s: float

    @property
    def list_lag(self) -> timedelta:
        """How late the cloud's list is."""
        return seconds(self.list_lag_s)


class Limits(msgspec.Struct):
    """What a controller's machine allows."""

    cores: float = 1.0
    ram_mb: float = 256.0
    max_connections: int = 1000


class Facts(msgspec.Struct):
    """Everything that is the same for all controllers."""

    zones: list[str]
    workers: Workers
    state: State
    cloud: Cloud
    limits: Limits = msgspec.field(default_factory=Limits)
    teams: list[Team] = []
    objectives: list[Objective] = []
    initial_size: int = 1
    time_bound_ms: float = 0.0


class Platform(msgspec.Struct, rename={"node": "node_name", "zone": "site", "listen": "serve_on"}):
    """The platform's settings file."""

    node: str
    zone: str
    listen: str
    peer_listen: str
    endpoints: Endpoints
    facts: Facts
    others: list[Other] = []

    @property
    def members(self) -> frozenset[str]:
        """All controllers, this one included."""
        return frozenset({self.node, *(other.node for other in self.others)})

    def team(self, name: str) -> Team | None:
        """The team of that name."""
        return next((team for team in self.facts.teams if team.name == name), None)


def split_address(address: str) -> tuple[str, int]:
    """Host and port of HOST:PORT. Raises ValueError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(address)
    return host, int(port)


def parse(text: str) -> Platform:
    """Reads a file's text. Raises SettingsError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from error
    try:
        platform = msgspec.convert(raw, Platform)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check(platform)
    return platform


def load(path: Path) -> Platform:
    """Reads a file. Raises SettingsError, naming the file."""
    try:
        return parse(path.read_text())
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _check(platform: Platform) -> None:
    facts = platform.facts
    addresses = {
        "serve_on": platform.listen,
        "peer_listen": platform.peer_listen,
        "endpoints.cloud": platform.endpoints.cloud,
        "endpoints.state": platform.endpoints.state,
        **{f"others.{other.node}.address": other.address for other in platform.others},
    }
    for name, address in addresses.items():
        try:
            split_address(address)
        except ValueError:
            raise SettingsError(f"{name}: not an address: {address!r}") from None
    positive = {
        "facts.workers.report_s": facts.workers.heartbeat_interval_s,
        "facts.workers.lease_s": facts.workers.lease_s,
        "facts.workers.cancel_s": facts.workers.cancel_s,
        "facts.state.rps": facts.state.rps,
        "facts.state.write_rps": facts.state.write_rps,
        "facts.state.value_kb": facts.state.value_kb,
        "facts.state.txn_ops": facts.state.txn_ops,
        "facts.cloud.rps": facts.cloud.rps,
        "facts.limits.cores": facts.limits.cores,
        "facts.limits.ram_mb": facts.limits.ram_mb,
        "facts.limits.max_connections": facts.limits.max_connections,
    }
    if facts.state.next is not None:
        for field, value in msgspec.structs.asdict(facts.state.next).items():
            if value is not None:
                positive[f"facts.state.next.{field}"] = value
    for name, value in positive.items():
        if not (math.isfinite(value) and value > 0):
            raise SettingsError(f"{name}: must be above 0, is {value}")
    for team in facts.teams:
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, field)
            if not (math.isfinite(value) and value >= 0):
                raise SettingsError(f"facts.teams.{team.name}.{field}: must be 0 or more, is {value}")
    if not math.isfinite(facts.cloud.list_lag_s) or facts.cloud.list_lag_s < 0:
        raise SettingsError("facts.cloud.list_lag_s: must be 0 or more")
