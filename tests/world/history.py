"""A recorded history of what controllers did, and its check.

The checker knows nothing of the code's decisions. By each node's own requests it knows until when the state
service has surely kept its lease, and holds every start, rental, deletion and answer against it.
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

TTL = LEADER_LEASE.total_seconds()


class RecordingPort(SimulatedClient):
    """A node's way to a service, on which leases and requests to the cloud are noted."""

    def __init__(self, port: SimulatedClient, node: str, history: "History") -> None:
        super().__init__(port._service, port.faults)
        self._node, self._history = node, history

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        """As before; a request that is only sent on a sure lease is judged at that moment."""
        sent = self._service.loop.now
        checked = precondition

        def judged() -> bool:
            good = checked is None or checked()
            if good:
                self._history.act(self._node, path)
            return good

        answer = await super().call(method, path, body, timeout=timeout, precondition=judged if checked else None)
        if path == "/grants":
            self._history.granted[self._node] = sent
        elif path.endswith("/extend") and answer.status == 200:
            self._history.renewed(self._node, sent)
        return answer


class TermRecorder:
    """Notes each term that a node begins."""

    def __init__(self, history: "History", node: str) -> None:
        self._history, self._node = history, node

    def on_elected(self, fencing_token: int) -> None:
        """Count the lease from when it was requested."""
        self._history.terms.append((self._history.world.loop.now, self._node, fencing_token))
        self._history.renewed(self._node, self._history.granted[self._node])

    def on_lost(self) -> None:
        """Nothing is noted: the lease may stand for longer."""


class History:
    """Terms, and everything done without a right to it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.terms: list[tuple[float, str, int]] = []
        self.granted: dict[str, float] = {}
        self._sure_until: dict[str, float] = {}
        self.acts = 0
        self.violations: list[str] = []
        world.on_start.append(self._watch)
        world.on_answer.append(self._answered)

    def renewed(self, node: str, sent: float) -> None:
        """Count the lease for its whole length from when the request was sent."""
        self._sure_until[node] = max(self._sure_until.get(node, 0.0), sent + TTL)

    def act(self, node: str, what: str) -> None:
        """Check that a node does this under a lease that surely holds."""
        self.acts += 1
        now = self.world.loop.now
        if now > self._sure_until.get(node, 0.0) + 1e-6:
            self.violations.append(f"{now:.2f} {node}: {what} without a sure lease")

    def _watch(self, node: str, controller: Controller) -> None:
        election = controller.election
        # What an earlier process had is no right of this one.
        self._sure_until.pop(node, None)
        answer = controller.api.handle_peer_request
        state, cloud = self.world.ports[node]
        controller.store._caller = RecordingPort(state, node, self)
        runner = controller.leader_runner
        runner.services = msgspec.structs.replace(runner.services, cloud=RecordingPort(cloud, node, self))

        async def answered(request: Any) -> Any:
            reply = await answer(request)
            if request.verb in ("submit", "withdraw", "status") and reply.status in (200, 201):
                self.act(node, f"{request.verb} of {request.job_id} answered")
            return reply

        # Before the leader acts on it.
        election._listeners.insert(0, TermRecorder(self, node))
        controller.api.handle_peer_request = answered  # type: ignore[method-assign]

    def _answered(self, node: str, request: Request, response: Response) -> None:
        controller = self.world.controllers.get(node)
        if controller is None or response.status not in (200, 201):
            return
        if request.path == HEARTBEAT_PATH:
            self._commanded(node, controller, response.body)
        elif request.path.startswith("/submissions") and controller.leader_runner.leading_service() is not None:
            self.act(node, f"{request.path} answered")

    def _commanded(self, node: str, controller: Controller, body: Any) -> None:
        if any(one["verb"] == "start" for one in body["orders"]):
            self.act(node, "a start")
            return
        election, now = controller.election, self.world.loop.now
        # The node's own record of when the others confirmed that they had won nothing later.
        confirmed = (self.world.loop.clock(self.world.drift[node]) - election._no_later_term_at).total_seconds()
        until = max(self._sure_until.get(node, 0.0), now - confirmed) + election.settings.grace_period.total_seconds()
        if now > until + 1e-6:
            self.violations.append(f"{now:.2f} {node}: a worker is answered past the holding time")
