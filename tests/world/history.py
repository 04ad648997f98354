"""Records what controllers do and checks it against their leases.

The checker does not depend on the code's decisions. From each node's own requests it derives until when its lease
is certain to be valid, and checks every start, rental, deletion and response against that.
"""

from datetime import timedelta
from typing import Any

import msgspec

from elmthread.controller import Controller
from elmthread.limits import LEADER_LEASE
from elmthread.net.http_client import ClientResponse
from elmthread.net.http_messages import Precondition, Request, Response
from elmthread.workers.messages import HEARTBEAT_PATH
from tests.world.service_ports import SimulatedClient
from tests.world.world import World

LEASE_S = LEADER_LEASE.total_seconds()


class RecordingPort(SimulatedClient):
    """A node's client for a service; records the node's leases, and checks requests that need a valid lease."""

    def __init__(self, port: SimulatedClient, node: str, history: "History") -> None:
        super().__init__(port._service, port.faults)
        self._node, self._history = node, history

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        """Call the service; check the lease as a request with a precondition is sent."""
        sent = self._service.loop.now
        checked = precondition

        def check_before_sending() -> bool:
            allowed = checked is None or checked()
            if allowed:
                self._history.check_lease(self._node, path)
            return allowed

        answer = await super().call(
            method, path, body, timeout=timeout, precondition=check_before_sending if checked else None
        )
        if path == "/grants":
            self._history.lease_requested_at[self._node] = sent
        elif path.endswith("/extend") and answer.status == 200:
            self._history.record_renewal(self._node, sent)
        return answer


class TermRecorder:
    """Records each term that a node begins."""

    def __init__(self, history: "History", node: str) -> None:
        self._history, self._node = history, node

    def on_elected(self, fencing_token: int) -> None:
        """Count the lease from when it was requested."""
        self._history.terms.append((self._history.world.loop.now, self._node, fencing_token))
        self._history.record_renewal(self._node, self._history.lease_requested_at[self._node])

    def on_lost(self) -> None:
        """Record nothing: the lease may be valid for longer."""


class History:
    """The terms, and all actions taken without a valid lease."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.terms: list[tuple[float, str, int]] = []
        self.lease_requested_at: dict[str, float] = {}
        self._lease_valid_until: dict[str, float] = {}
        self.checked_actions = 0
        self.violations: list[str] = []
        world.on_start.append(self._watch)
        world.on_response.append(self._on_response)

    def record_renewal(self, node: str, sent: float) -> None:
        """Count the lease for its full duration from when the request was sent."""
        self._lease_valid_until[node] = max(self._lease_valid_until.get(node, 0.0), sent + LEASE_S)

    def check_lease(self, node: str, what: str) -> None:
        """Check that the node's lease is certain to be valid as it takes an action."""
        self.checked_actions += 1
        now = self.world.loop.now
        if now > self._lease_valid_until.get(node, 0.0) + 1e-6:
            self.violations.append(f"{now:.2f} {node}: {what} without a sure lease")

    def _watch(self, node: str, controller: Controller) -> None:
        election = controller.election
        # The lease of an earlier process does not cover this one.
        self._lease_valid_until.pop(node, None)
        handle = controller.api.handle_peer_request
        state, cloud = self.world.ports[node]
        controller.store._caller = RecordingPort(state, node, self)
        runner = controller.leader_runner
        runner.services = msgspec.structs.replace(runner.services, cloud=RecordingPort(cloud, node, self))

        async def handle_and_check(request: Any) -> Any:
            reply = await handle(request)
            if request.verb in ("submit", "withdraw", "status") and reply.status in (200, 201):
                self.check_lease(node, f"{request.verb} of {request.job_id} answered")
            return reply

        # Called first, before the leader acts on the election.
        election._listeners.insert(0, TermRecorder(self, node))
        controller.api.handle_peer_request = handle_and_check  # type: ignore[method-assign]

    def _on_response(self, node: str, request: Request, response: Response) -> None:
        controller = self.world.controllers.get(node)
        if controller is None or response.status not in (200, 201):
            return
        if request.path == HEARTBEAT_PATH:
            self._check_commands(node, controller, response.body)
        elif request.path.startswith("/submissions") and controller.leader_runner.leading_service() is not None:
            self.check_lease(node, f"{request.path} answered")

    def _check_commands(self, node: str, controller: Controller, body: Any) -> None:
        if any(one["verb"] == "start" for one in body["orders"]):
            self.check_lease(node, "a start")
            return
        election, now = controller.election, self.world.loop.now
        # The node's own record of when the other controllers confirmed that none had won a later term.
        confirmed_age_s = (self.world.loop.clock(self.world.drift[node]) - election._no_later_term_at).total_seconds()
        may_answer_until = (
            max(self._lease_valid_until.get(node, 0.0), now - confirmed_age_s)
            + election.settings.grace_period.total_seconds()
        )
        if now > may_answer_until + 1e-6:
            self.violations.append(f"{now:.2f} {node}: a worker is answered past the holding time")
