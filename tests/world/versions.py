"""Versions whose controllers a node can run: this one, or an earlier one imported from its own sources.

An earlier version uses names that have been changed since. `MODULES`, `CLASSES` and `ATTRIBUTES` map
the present names that the simulated world uses to the earlier ones; whoever renames one of them adds
the name that it had. The first name that a version has is used.
"""

import importlib
from collections.abc import Callable
from datetime import timedelta
from types import ModuleType
from typing import Any

import msgspec

from elmthread.common.features import SupportedLevels
from elmthread.controller import Controller, ControllerEnvironment
from elmthread.net.http_client import ClientResponse, NoResponseError, NotSentError
from elmthread.net.http_messages import Request
from elmthread.peers.messages import LeaderAnnouncement
from elmthread.peers.network import PeerNetwork
from elmthread.settings import operators, platform
from elmthread.settings.rollout import RolloutSettings
from tests.world.service_ports import NodePorts, SimulatedClient

# Present module -> earlier modules.
MODULES: dict[str, tuple[str, ...]] = {
    "api.routes": ("intake.api",),
    "common.features": ("rollout.features",),
    "leader": ("controller",),
    "net.http_client": ("net.http", "common.http"),
    "net.http_messages": ("net.http", "common.http"),
    "peers.connection": ("peers.link",),
    "peers.network": ("peers.link",),
    "settings.rollout": ("rollout.settings",),
}
# Present class, by module and name -> earlier names.
CLASSES: dict[tuple[str, str], tuple[str, ...]] = {
    ("api.routes", "RequestRouter"): ("Api",),
    ("net.http_client", "ClientResponse"): ("Answer",),
    ("net.http_client", "NoResponseError"): ("NoAnswer",),
    ("net.http_client", "NotSentError"): ("Withheld",),
    ("peers.connection", "PeerUnreachableError"): ("NotReached",),
    ("peers.network", "PeerNetwork"): ("Peers",),
    ("settings.operators", "OperatorSettings"): ("Operators",),
    ("settings.operators", "OperatorsFile"): ("Raw",),
}
# Class, by its present module and name -> present attribute or method -> earlier names.
ATTRIBUTES: dict[tuple[str, str], dict[str, tuple[str, ...]]] = {
    ("api.routes", "RequestRouter"): {"handle_peer_request": ("answer",)},
    ("controller", "Controller"): {
        "handle_announcement": ("hear",),
        "leader_task": ("_leading",),
        "make_announcement": ("_say",),
    },
    ("leader", "Leader"): {"cluster": ("book",)},
    ("leadership.election", "Election"): {
        "fencing_token": ("token",),
        "highest_seen_token": ("seen_token",),
        "holds_lease": ("leads",),
        "may_answer_workers": ("answers_workers",),
        "observe_term": ("hear",),
    },
    ("net.http_messages", "Response"): {"precondition": ("sure",)},
    ("peers.network", "PeerNetwork"): {"announce": ("tell",), "is_connected": ("reaches",), "request": ("ask",)},
}


class Version:
    """This version."""

    package = "elmthread"

    def module(self, name: str) -> ModuleType:
        """Return a module of this version."""
        return importlib.import_module(f"{self.package}.{name}")

    def lookup(self, module: str, name: str) -> Any:
        """Return the member `name` of a module of this version."""
        return getattr(self.module(module), name)

    def controller(
        self,
        settings: str,
        clock: Callable[[], timedelta],
        ports: NodePorts,
        peers: type[PeerNetwork],
        levels: "NodeLevels",
    ) -> Controller:
        """Make a controller of the version, with ports to the store and the cloud."""
        return Controller(
            platform.parse(settings),
            operators.OperatorSettings(operators.OperatorsFile(rollout=levels.rollout)),
            ControllerEnvironment(clock, ports.store, ports.cloud, peers, levels.supported),
        )

    def request(self, request: Request) -> Any:
        """Return the request as the version's server creates it."""
        return request

    def peers(self, peers: type[PeerNetwork]) -> type[PeerNetwork]:
        """Return a class of peer links whose methods have the version's names."""
        return peers

    def announcement(self, peers: PeerNetwork) -> LeaderAnnouncement:
        """Return what the controller of these peer links announces now."""
        return peers._handler.make_announcement()


class NodeLevels(msgspec.Struct, frozen=True):
    """A node's rollout settings, and the levels that it supports."""

    rollout: RolloutSettings
    supported: SupportedLevels


class EarlierVersion(Version):
    """An earlier version, imported under a package name of its own."""

    def __init__(self, package: str) -> None:
        """Let the package's classes resolve the present names."""
        self.package = package
        for (module, name), names in ATTRIBUTES.items():
            _add_names(self.lookup(module, name), names)

    def module(self, name: str) -> ModuleType:
        """Return the earlier version's module, given its present name."""
        return self._modules(name)[0]

    def _modules(self, name: str) -> list[ModuleType]:
        found = []
        for one in (name, *MODULES.get(name, ())):
            try:
                found.append(importlib.import_module(f"{self.package}.{one}"))
            except ModuleNotFoundError as error:
                if error.name is None or not f"{self.package}.{one}".startswith(error.name):
                    raise
        if not found:
            raise LookupError(f"the earlier version has no module {name}: add the name that it had to MODULES")
        return found

    def lookup(self, module: str, name: str) -> Any:
        """Return a member of an earlier module, given the present names of both."""
        for one in self._modules(module):
            for known in (name, *CLASSES.get((module, name), ())):
                if hasattr(one, known):
                    return getattr(one, known)
        raise LookupError(f"the earlier version has no {module}.{name}: add the name that it had to CLASSES")

    def reads_level(self, level: int) -> bool:
        """Return whether the version reads a compatibility level; a version without levels reads the first."""
        try:
            return level in self.lookup("common.features", "SUPPORTED")
        except LookupError:
            return level == 1

    def controller(
        self,
        settings: str,
        clock: Callable[[], timedelta],
        ports: NodePorts,
        peers: type[PeerNetwork],
        levels: NodeLevels,
    ) -> Controller:
        """Make a controller of the earlier version, with its own levels, and rollout settings if it knows them."""
        file = self.lookup("settings.operators", "OperatorsFile")
        operators_file = file()
        if "rollout" in operators_file.__struct_fields__:
            known = self.lookup("settings.rollout", "RolloutSettings")
            operators_file = file(rollout=msgspec.convert(msgspec.to_builtins(levels.rollout), known))
        environment: list[Any] = [clock, *(EarlierPort(port, self) for port in ports), peers]
        if hasattr(self.module("controller"), "ControllerEnvironment"):
            environment = [self.lookup("controller", "ControllerEnvironment")(*environment)]
        controller: Controller = self.lookup("controller", "Controller")(
            self.lookup("settings.platform", "parse")(settings),
            self.lookup("settings.operators", "OperatorSettings")(operators_file),
            *environment,
        )
        return controller

    def request(self, request: Request) -> Any:
        """Return the request as the earlier version's server creates it."""
        made = self.lookup("net.http_messages", "Request")
        return made(request.method, request.path, request.query, request.body, request.previous_response_at)

    def peers(self, peers: type[PeerNetwork]) -> type[PeerNetwork]:
        """Give the overriding methods the names by which the earlier version calls them."""
        for present, names in ATTRIBUTES["peers.network", "PeerNetwork"].items():
            for earlier in names:
                if present in vars(peers) and hasattr(peers, earlier):
                    setattr(peers, earlier, vars(peers)[present])
        return peers

    def announcement(self, peers: Any) -> Any:
        """Return what the controller of these peer links announces now."""
        handler = getattr(peers, "_handler", None)
        return peers._say() if handler is None else handler.make_announcement()


class EarlierPort:
    """A port that returns responses and raises errors of the earlier version's types."""

    def __init__(self, port: SimulatedClient, version: EarlierVersion) -> None:
        """Wrap a port of this version."""
        self._port = port
        self._answer = version.lookup("net.http_client", "ClientResponse")
        self._no_response = version.lookup("net.http_client", "NoResponseError")
        self._not_sent = version.lookup("net.http_client", "NotSentError")

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout: timedelta,
        **options: Callable[[], bool] | None,
    ) -> Any:
        """Call the service through the port; versions name the precondition `precondition` or `sure`."""
        precondition = options.get("precondition", options.get("sure"))
        try:
            answer: ClientResponse = await self._port.call(
                method, path, body, timeout=timeout, precondition=precondition
            )
        except NotSentError as error:
            raise self._not_sent(str(error)) from error
        except NoResponseError as error:
            raise self._no_response(str(error)) from error
        return self._answer(answer.status, answer.body)


def _add_names(owner: type, names: dict[str, tuple[str, ...]]) -> None:
    """Let instances of `owner` resolve each present attribute name to the earlier name that they have.

    Python calls `__getattr__` only for attributes that are missing otherwise.
    """

    def find(instance: Any, present: str) -> Any:
        for earlier in names.get(present, ()):
            if hasattr(instance, earlier):
                return getattr(instance, earlier)
        raise AttributeError(f"{owner.__name__} has no {present}")

    if names:
        owner.__getattr__ = find  # type: ignore[attr-defined]
