"""The HTTP paths that every node serves, and their handlers."""

from collections.abc import Awaitable, Callable

import msgspec

from elmthread.api import responses
from elmthread.api.forwarding import RequestForwarder
from elmthread.api.messages import JOB_ID, InvalidSubmissionError, read_job_id, read_submission
from elmthread.api.node import ApiNode
from elmthread.api.readiness import Readiness
from elmthread.net.http_messages import MalformedBodyError, Request, Response, decode_body
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, RequestVerb
from elmthread.workers.messages import HEARTBEAT_PATH

HandleHeartbeat = Callable[[Request], Awaitable[Response]]


class RequestRouter:
    """Routes requests of users, workers, the load balancer and other nodes."""

    def __init__(self, node: ApiNode, heartbeat: HandleHeartbeat) -> None:
        """Initialize with `heartbeat`, the handler of workers' requests."""
        self._heartbeat = heartbeat
        self._readiness = Readiness(node)
        self._forwarder = RequestForwarder(node, self._readiness)

    async def handle(self, request: Request) -> Response:
        """Return the response to an HTTP request."""
        path, method = request.path, request.method
        if path == HEARTBEAT_PATH:
            return await self._heartbeat(request) if method == "POST" else _method_not_allowed()
        if path == "/ready":
            return self._readiness.check() if method == "GET" else _method_not_allowed()
        match path.split("/"):
            case ["", "submissions"]:
                return await self._submit(request) if method == "POST" else _method_not_allowed()
            case [_, "submissions", job_id]:
                return await self._forward(job_id, RequestVerb.STATUS) if method == "GET" else _method_not_allowed()
            case [_, "submissions", job_id, "withdraw"]:
                return await self._forward(job_id, RequestVerb.CANCEL) if method == "POST" else _method_not_allowed()
        return responses.rejection(404, "no such path")

    async def handle_peer_request(self, request: ForwardedRequest) -> ForwardedResponse:
        """Return the response to another node's request."""
        return await self._forwarder.handle_peer_request(request)

    async def _submit(self, request: Request) -> Response:
        try:
            body = decode_body(request.body)
            job_id = read_job_id(body)
        except (MalformedBodyError, InvalidSubmissionError) as error:
            return responses.rejection(400, str(error))
        submission = ForwardedRequest(0, RequestVerb.SUBMIT, job_id)
        try:
            submission.body = msgspec.to_builtins(read_submission(body))
        except InvalidSubmissionError as error:
            # The leader rejects the submission, unless it knows the job: then it returns the job's status.
            submission.fault = str(error)
        return await self._forwarder.handle(submission)

    async def _forward(self, job_id: str, verb: RequestVerb) -> Response:
        if not JOB_ID.match(job_id):
            return responses.unknown_job()
        return await self._forwarder.handle(ForwardedRequest(0, verb, job_id))


def _method_not_allowed() -> Response:
    return responses.rejection(405, "wrong method")
