"""Forwarding of users' requests: any node accepts them, but only the leader executes them."""

from datetime import timedelta
from functools import partial

from elmthread.api import responses
from elmthread.api.job_service import JobService
from elmthread.api.messages import InvalidSubmissionError, read_submission
from elmthread.api.node import ApiNode
from elmthread.api.readiness import Readiness
from elmthread.common.clock import seconds
from elmthread.common.overload import WorkClass
from elmthread.net.http_messages import Response
from elmthread.peers.connection import PeerUnreachableError
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, RequestVerb

# Users time out after 5 s for a submission and 2 s for a status; the response must be sent before that.
FORWARDING_TIMEOUTS: dict[str, timedelta] = {
    RequestVerb.SUBMIT: seconds(4),
    RequestVerb.CANCEL: seconds(4),
    RequestVerb.STATUS: seconds(1.5),
}
# The work class of each request; an overloaded node rejects requests by their class.
WORK_CLASSES: dict[str, WorkClass] = {
    RequestVerb.SUBMIT: WorkClass.SUBMISSION,
    RequestVerb.CANCEL: WorkClass.STATUS_REQUEST,
    RequestVerb.STATUS: WorkClass.STATUS_REQUEST,
}


class RequestForwarder:
    """Executes requests if this node is the leader, and forwards them to the leader otherwise."""

    def __init__(self, node: ApiNode, readiness: Readiness) -> None:
        """Initialize with `readiness`, which decides whether a response that asks for a retry closes the connection."""
        self._node = node
        self._readiness = readiness

    async def handle(self, request: ForwardedRequest) -> Response:
        """Return the response to a request that a user sent to this node."""
        if not self._node.gate.admitted:
            return self._unavailable("not admitted")
        if self._node.overload_control.rejects(WORK_CLASSES[request.verb]):
            return responses.overloaded("too much to do")
        if self._node.leading_service() is not None:
            return await self._execute(request)
        leader = self._node.election.leader
        if leader is None or leader == self._node.name:
            return self._unavailable("no leader")
        return await self._forward(leader, request)

    async def handle_peer_request(self, request: ForwardedRequest) -> ForwardedResponse:
        """Return the response to another node's request; a user's request is executed only in the term it names."""
        if request.verb == RequestVerb.CONFIRM_NO_LATER_TERM:
            confirmed = self._node.election.has_won_no_later_term(request.fencing_token)
            return _make_reply(request, Response(200 if confirmed else 503))
        if request.verb == RequestVerb.GET_PROCESS:
            return _make_reply(request, Response(200, {"process": self._node.gate.process}))
        service = self._node.leading_service()
        if request.verb in WORK_CLASSES and self._node.overload_control.rejects(WORK_CLASSES[request.verb]):
            return _make_reply(request, responses.overloaded("too much to do"))
        if service is None or request.fencing_token != service.fencing_token:
            return _make_reply(request, responses.not_leading())
        response = await self._execute(request)
        return _make_reply(request, response.check_precondition())

    async def _forward(self, leader: str, request: ForwardedRequest) -> Response:
        sent_at = self._node.clock()
        timeout = FORWARDING_TIMEOUTS[request.verb]
        request.fencing_token = self._node.election.highest_seen_token
        try:
            reply = await self._node.peers.request(leader, request, timeout)
        except PeerUnreachableError:
            return self._unavailable("the leader does not answer")
        retry_after = None if reply.retry_after_s is None else seconds(reply.retry_after_s)
        still_valid = partial(self._is_still_valid, reply, sent_at + timeout)
        return Response(
            reply.status, reply.body, retry_after, precondition=None if reply.status == 503 else still_valid
        )

    def _is_still_valid(self, reply: ForwardedResponse, deadline: timedelta) -> bool:
        """Return whether the reply is in time, and this node has seen no newer leader than the one that sent it."""
        return self._node.clock() <= deadline and reply.fencing_token >= self._node.election.highest_seen_token

    async def _execute(self, request: ForwardedRequest) -> Response:
        """Execute the request if this node is the leader, its state is loaded and its leader lease is valid."""
        service = self._node.leading_service()
        if service is None or not self._node.election.holds_lease():
            return responses.not_leading()
        response = await _dispatch(service, request)
        if response.status != 503:
            response.precondition = service.holds_lease
        return response

    def _unavailable(self, reason: str) -> Response:
        """Return a response that asks for a retry; it closes the connection if this node is not ready.

        The load balancer then directs new connections to other nodes, but keeps open connections for some
        seconds more; on one of these the user's retry would reach this node again.
        """
        response = responses.retry(reason)
        response.close = self._readiness.check().status != 200
        return response


async def _dispatch(service: JobService, request: ForwardedRequest) -> Response:
    if request.verb == RequestVerb.SUBMIT:
        return await _submit(service, request)
    if request.verb == RequestVerb.CANCEL:
        return await service.cancel(request.job_id)
    if request.verb == RequestVerb.STATUS:
        return service.status(request.job_id)
    return responses.rejection(400, "unknown request")


async def _submit(service: JobService, request: ForwardedRequest) -> Response:
    if request.body is None:
        return await service.submit(request.job_id, None, request.fault)
    try:
        spec = read_submission(request.body)
    except InvalidSubmissionError as error:
        return await service.submit(request.job_id, None, str(error))
    return await service.submit(request.job_id, spec, request.fault)


def _make_reply(request: ForwardedRequest, response: Response) -> ForwardedResponse:
    retry_after_s = None if response.retry_after is None else response.retry_after.total_seconds()
    return ForwardedResponse(request.number, response.status, response.body, retry_after_s, request.fencing_token)
