"""The platform's settings file and its validation; unknown fields are ignored.

`rename` maps the names in the code to those in the file.
"""

import math
import tomllib
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError


class SettingsError(ElmthreadError):
    """A settings file is unreadable or invalid; the message is one line that names the field."""


class PeerController(msgspec.Struct, rename={"node": "node_name", "zone": "site"}):
    """Another controller, and the address at which it listens for peers."""

    node: str
    zone: str
    address: str


class Endpoints(msgspec.Struct, rename={"store": "state"}):
    """Addresses of the cloud and of the key-value store."""

    cloud: str
    store: str


class Team(msgspec.Struct):
    """A team's guarantee and limit, in cores and in GPUs; 0 means no guarantee or no limit."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpu_quota(self) -> float:
        """Maximum number of cores that the team may use."""
        return self.cpus_max or math.inf

    @property
    def gpu_quota(self) -> float:
        """Maximum number of GPUs that the team may use."""
        return self.gpus_max or math.inf


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """A service-level objective for a class of jobs.

    The kind `wait` sets a time until replicas start (`within_s`), `finished` a time until a job is done (`within_s`),
    `deadline` a multiple (`times`) of the job's deadline, and `up` the share of replica time served from `after_s` on.
    """

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    after_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimes(msgspec.Struct, rename={"heartbeat_interval_s": "report_s", "cancellation_time_s": "cancel_s"}):
    """Timing of workers."""

    heartbeat_interval_s: float
    lease_s: float
    cancellation_time_s: float

    @property
    def heartbeat_interval(self) -> timedelta:
        """The usual time between two heartbeats."""
        return seconds(self.heartbeat_interval_s)

    @property
    def lease(self) -> timedelta:
        """How long a worker continues its tasks without a response to its heartbeats."""
        return seconds(self.lease_s)

    @property
    def cancellation_time(self) -> timedelta:
        """The maximum time until all tasks are gone after a user has read that their job is cancelled."""
        return seconds(self.cancellation_time_s)


class NextStoreLimits(msgspec.Struct):
    """Limits that the key-value store will have at some time in the future; absent ones do not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StoreLimits(msgspec.Struct):
    """Limits of the key-value store: requests and writes per second, size of a value, changes in a transaction."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStoreLimits | None = None

    def strictest(self) -> "StoreLimits":
        """Return, for each limit, the stricter of its present and next values.

        The time of the change is not announced. A controller that observes both limits from its start need
        not detect the change, and no transaction in flight is refused.
        """
        if self.next is None:
            return self
        limits = {
            name: min(value, getattr(self, name))
            for name in ("rps", "write_rps", "value_kb", "txn_ops")
            if (value := getattr(self.next, name)) is not None
        }
        return msgspec.structs.replace(self, **limits)


class CloudLimits(msgspec.Struct):
    """Limits of the cloud: requests per second, and the lag of its machine list."""

    rps: float
    list_lag_s: float

    @property
    def list_lag(self) -> timedelta:
        """How far the cloud's machine list may lag behind."""
        return seconds(self.list_lag_s)


class ControllerLimits(msgspec.Struct):
    """Resources of the machine that a controller runs on."""

    cores: float = 1.0
    ram_mb: float = 256.0
    max_connections: int = 1000


class ClusterSettings(msgspec.Struct, rename={"store": "state"}):
    """Settings that are the same for all controllers."""

    zones: list[str]
    workers: WorkerTimes
    store: StoreLimits
    cloud: CloudLimits
    limits: ControllerLimits = msgspec.field(default_factory=ControllerLimits)
    teams: list[Team] = []
    objectives: list[Objective] = []
    # Not used by this version: `initial_size` and `time_bound_ms`.
    initial_size: int = 1
    time_bound_ms: float = 0.0


class PlatformSettings(
    msgspec.Struct,
    rename={"node": "node_name", "zone": "site", "listen": "serve_on", "cluster": "facts", "peers": "others"},
):
    """The platform's settings file: this node's settings and those of the cluster."""

    node: str
    zone: str
    listen: str
    peer_listen: str
    endpoints: Endpoints
    cluster: ClusterSettings
    peers: list[PeerController] = []

    @property
    def members(self) -> frozenset[str]:
        """The nodes of all controllers, including this one."""
        return frozenset({self.node, *(peer.node for peer in self.peers)})

    def team(self, name: str) -> Team | None:
        """Return the team with that name, or None."""
        return next((team for team in self.cluster.teams if team.name == name), None)


class Address(NamedTuple):
    """A host and a port."""

    host: str
    port: int


def parse_address(address: str) -> Address:
    """Parse HOST:PORT. Raises ValueError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(address)
    return Address(host, int(port))


def parse(text: str) -> PlatformSettings:
    """Parse the text of a settings file. Raises SettingsError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from error
    try:
        platform = msgspec.convert(raw, PlatformSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check(platform)
    return platform


def load(path: Path) -> PlatformSettings:
    """Load a settings file. Raises SettingsError, which names the file."""
    try:
        return parse(path.read_text())
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _check(platform: PlatformSettings) -> None:
    _check_addresses(platform)
    _check_positive(platform.cluster)
    for team in platform.cluster.teams:
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            value = getattr(team, field)
            if not (math.isfinite(value) and value >= 0):
                raise SettingsError(f"facts.teams.{team.name}.{field}: must be 0 or more, is {value}")
    list_lag_s = platform.cluster.cloud.list_lag_s
    if not math.isfinite(list_lag_s) or list_lag_s < 0:
        raise SettingsError("facts.cloud.list_lag_s: must be 0 or more")


def _check_addresses(platform: PlatformSettings) -> None:
    addresses = {
        "serve_on": platform.listen,
        "peer_listen": platform.peer_listen,
        "endpoints.cloud": platform.endpoints.cloud,
        "endpoints.state": platform.endpoints.store,
        **{f"others.{peer.node}.address": peer.address for peer in platform.peers},
    }
    for field, address in addresses.items():
        try:
            parse_address(address)
        except ValueError:
            raise SettingsError(f"{field}: not an address: {address!r}") from None


def _check_positive(cluster: ClusterSettings) -> None:
    positive = {
        "facts.workers.report_s": cluster.workers.heartbeat_interval_s,
        "facts.workers.lease_s": cluster.workers.lease_s,
        "facts.workers.cancel_s": cluster.workers.cancellation_time_s,
        "facts.state.rps": cluster.store.rps,
        "facts.state.write_rps": cluster.store.write_rps,
        "facts.state.value_kb": cluster.store.value_kb,
        "facts.state.txn_ops": cluster.store.txn_ops,
        "facts.cloud.rps": cluster.cloud.rps,
        "facts.limits.cores": cluster.limits.cores,
        "facts.limits.ram_mb": cluster.limits.ram_mb,
        "facts.limits.max_connections": cluster.limits.max_connections,
    }
    if cluster.store.next is not None:
        for field, value in msgspec.structs.asdict(cluster.store.next).items():
            if value is not None:
                positive[f"facts.state.next.{field}"] = value
    for field, value in positive.items():
        if not (math.isfinite(value) and value > 0):
            raise SettingsError(f"{field}: must be above 0, is {value}")
