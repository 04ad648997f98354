"""Records the exchanges on the simulated network: one line for each, in the order in which they began."""

import asyncio
import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import cbor2
import msgspec
import pynetstring

from tests.world.loop import NODE
from tests.world.service_ports import SimulatedClient
from tests.world.simulated_cloud import SimulatedCloud
from tests.world.world import World

NO_ANSWER = "unanswered"


def to_json(value: Any) -> str:
    """Return a body as JSON, with its fields in the order of sending. Raises TypeError if it can't be encoded."""
    return json.dumps(value, separators=(",", ":"))


def format_request_body(body: bytes) -> str:
    """Return the body of a request as JSON, or as hexadecimal digits if it is not CBOR."""
    try:
        return to_json(cbor2.loads(body)) if body else ""
    except ValueError:
        return body.hex()


def format_response(response: Any) -> str:
    """Return a response as text, including its headers. The only place that names its fields."""
    after = "" if response.retry_after is None else f" retry={response.retry_after.total_seconds():.6f}"
    return f"{response.status}{after}{' close' if response.close else ''} {to_json(response.body)}"


class Recorder:
    """Collects the lines of one world, until it is closed."""

    def __init__(self) -> None:
        """Start without a world."""
        self.world: World | None = None
        self.lines: list[str] = []
        self.closed = False

    def _now(self) -> float:
        return 0.0 if self.world is None else self.world.loop.now

    def begin(self, what: str) -> Callable[[str], None]:
        """Record a request; return a function that records its response. Without one it stays unanswered."""
        if self.closed:
            return lambda answer: None
        index = len(self.lines)
        self.lines.append(f"{self._now():.6f} {what} => {NO_ANSWER}")

        def end(answer: str) -> None:
            if not self.closed:
                head = self.lines[index].removesuffix(NO_ANSWER)
                self.lines[index] = f"{head}{self._now():.6f} {answer}"

        return end

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Record calls to services, requests to nodes and messages between controllers."""
        with (
            mock.patch.object(SimulatedClient, "call", _recorded_call(self)),
            mock.patch.object(World, "serve", _recorded_serve(self)),
            mock.patch.object(World, "as_decoded_by", _recorded_message(self)),
        ):
            yield


def _recorded_call(recorder: Recorder) -> Any:
    call = SimulatedClient.call

    async def recorded(port: SimulatedClient, method: str, path: str, body: Any = None, **more: Any) -> Any:
        service = "cloud" if isinstance(port._service, SimulatedCloud) else "state"
        end = recorder.begin(f"{NODE.get()} {service} {method} {path} {to_json(body)}")
        try:
            answer = await call(port, method, path, body, **more)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # The text comes from the simulated client; the class, which is of the code under test, is left out.
            end(f"failed: {error}")
            raise
        end(f"{answer.status} {to_json(answer.body)}")
        return answer

    return recorded


def _recorded_serve(recorder: Recorder) -> Any:
    serve = World.serve

    async def recorded(world: World, node: str, request: Any) -> Any:
        query = to_json(dict(request.query)) if request.query else ""
        end = recorder.begin(f"{node} door {request.method} {request.path}{query} {format_request_body(request.body)}")
        response = await serve(world, node, request)
        end(format_response(response))
        return response

    return recorded


def _recorded_message(recorder: Recorder) -> Any:
    as_decoded_by = World.as_decoded_by

    def recorded(world: World, message: Any, node: str) -> Any:
        frame = pynetstring.encode(msgspec.json.encode(message)).decode()
        recorder.begin(f"{NODE.get()} says to {node} {frame}")("sent")
        return as_decoded_by(world, message, node)

    return recorded
