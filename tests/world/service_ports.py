"""A node's clients for the simulated services, and the faults of their exchanges."""

import asyncio
import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

from elmthread.net.http_client import ClientResponse, NoResponseError, NotSentError
from elmthread.net.http_messages import Precondition
from tests.world.loop import SimLoop


@dataclass(slots=True)
class ServiceFaults:
    """Faults of the exchanges between one node and one service."""

    cut: bool = False  # requests hang
    refused: bool = False  # 503 to this node only
    process_ended: bool = False  # the node's process has ended
    delivered_after_end: bool = False  # requests that the process had sent are applied all the same
    duplicate_share: float = 0.0  # share of changes that are applied a second time, later
    lost_response_share: float = 0.0  # share of responses that are lost after the request was applied
    late_share: float = 0.0  # share of requests that are applied only after the caller's timeout
    reset: bool = False  # connections are reset at once
    request_delay_s: float = 0.0
    response_delay_s: float = 0.0


class Service:
    """A simulated service: subclasses handle requests in `apply`."""

    def __init__(self, loop: SimLoop, rng: random.Random, latency: float) -> None:
        """Delay requests and responses by a random part of `latency` seconds each."""
        self.loop = loop
        self.rng = rng
        self.latency = latency
        self.down = False

    def delay(self) -> float:
        """Draw a one-way delay in seconds."""
        return self.latency * self.rng.uniform(0.3, 1.0)

    async def serve(self, method: str, path: str, body: Any) -> ClientResponse:
        """Handle a request whose response may have to wait."""
        return self.apply(method, path, body)

    def apply(self, method: str, path: str, body: Any) -> ClientResponse:
        """Handle a request at once."""
        raise NotImplementedError


class _Call(NamedTuple):
    """A request, and the time at which its caller gives up."""

    method: str
    path: str
    body: Any
    end: float


class SimulatedClient:
    """A node's client for a service, in place of an HttpClient."""

    def __init__(self, service: Service, faults: ServiceFaults) -> None:
        """Connect to the service, with these faults."""
        self._service = service
        self.faults = faults

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        """Call the service as HttpClient does. Raises NoResponseError and NotSentError."""
        call = _Call(method, path, body, self._service.loop.now + timeout.total_seconds())
        await asyncio.sleep(self._service.delay())
        if precondition is not None and not precondition():
            raise NotSentError(path)
        await self._send(call)
        if self.faults.refused or self._service.down:
            return ClientResponse(503, {"error": "trouble"})
        response = await self._carry_out(call)
        await self._receive(call)
        return response

    async def _send(self, call: _Call) -> None:
        """Return once the request has arrived."""
        faults, service = self.faults, self._service
        if faults.process_ended:
            if faults.delivered_after_end:
                service.loop.call_later(service.rng.uniform(0.0, 6.0), service.apply, *call[:3])
            await asyncio.Event().wait()
        if faults.reset:
            raise NoResponseError("reset")
        if faults.request_delay_s:
            await asyncio.sleep(faults.request_delay_s)
            if service.loop.now >= call.end:
                service.loop.call_soon(service.apply, *call[:3])
                raise NoResponseError("late")
        if faults.cut:
            await self._time_out(call, "cut")

    async def _carry_out(self, call: _Call) -> ClientResponse:
        """Return the response as the service sends it."""
        faults, service = self.faults, self._service
        rng, loop = service.rng, service.loop
        if rng.random() < faults.late_share:
            loop.call_later(call.end - loop.now + rng.uniform(0.0, 20.0), service.apply, *call[:3])
            await self._time_out(call, "late")
        if call.method != "GET" and rng.random() < faults.duplicate_share:
            loop.call_later(rng.uniform(0.1, 30.0), service.apply, *call[:3])
        try:
            async with asyncio.timeout(max(0.001, call.end - loop.now)):
                return await service.serve(*call[:3])
        except TimeoutError:
            raise NoResponseError("timeout") from None

    async def _receive(self, call: _Call) -> None:
        """Return once the response has arrived."""
        faults, service = self.faults, self._service
        if service.rng.random() < faults.lost_response_share:
            await self._time_out(call, "answer lost")
        if faults.response_delay_s:
            await asyncio.sleep(faults.response_delay_s)
            if service.loop.now >= call.end:
                raise NoResponseError("answer late")
        await asyncio.sleep(service.delay())
        if faults.process_ended:
            await asyncio.Event().wait()

    async def _time_out(self, call: _Call, why: str) -> None:
        await asyncio.sleep(max(0.0, call.end - self._service.loop.now))
        raise NoResponseError(why)


class NodePorts(NamedTuple):
    """A node's clients for the services."""

    store: SimulatedClient
    cloud: SimulatedClient
