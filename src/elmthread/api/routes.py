"""The users' door on every node: reads requests, and takes them to whoever leads."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from elmthread.api.messages import JOB_ID, InvalidSubmissionError, job_id_of, read_submission
from elmthread.api.service import JobService
from elmthread.common.clock import ZERO, Clock, seconds
from elmthread.common.load import OverloadControl, WorkClass
from elmthread.leadership.election import Election
from elmthread.net.http_messages import (
    MalformedBodyError,
    Request,
    Response,
    decode_body,
    retry_later,
)
from elmthread.peers.connection import PeerUnreachableError
from elmthread.peers.messages import CONFIRM_NO_LATER_TERM, GET_PROCESS, ForwardedRequest, ForwardedResponse
from elmthread.peers.network import PeerNetwork
from elmthread.rollout.gate import CompatibilityGate
from elmthread.workers.messages import HEARTBEAT_PATH

log = logging.getLogger(__name__)

SOON = seconds(1)
# Users wait 5 s for a submission and 2 s for a poll; the answer must be on its way before.
ASK_TIME = {"submit": seconds(4), "withdraw": seconds(4), "status": seconds(1.5)}
# What a node that has fallen behind refuses, and with what: the protocol's word for too much.
KINDS = {"submit": WorkClass.SUBMITTING, "withdraw": WorkClass.ASKING, "status": WorkClass.ASKING}
# A node that knows a leader it can't reach leaves users to nodes that can, after this time.
CUT_OFF = seconds(2.8)
# Where nobody leads, no node is better than another: users are told at once when to come
# back, and a node taken out of service would be missing for a while after the trouble ends.
VACANT = seconds(60)

TOO_MUCH = retry_later(429, seconds(2), "too much to do")

HeartbeatHandler = Callable[[Request], Awaitable[Response]]


class RequestRouter:
    def __init__(
        self,
        node: str,
        election: Election,
        peers: PeerNetwork,
        clock: Clock,
        intake: Callable[[], JobService | None],
        heartbeat: HeartbeatHandler,
        load: OverloadControl,
        gate: CompatibilityGate,
    ) -> None:
        """The gate says whether this process may serve at all."""
        self._gate = gate
        self._load = load
        self._node = node
        self._election = election
        self._peers = peers
        self._clock = clock
        self._intake = intake
        self._heartbeat = heartbeat
        self._served_at: timedelta = ZERO
        self._ever = False

    async def handle(self, request: Request) -> Response:
        path, method = request.path, request.method
        if path == HEARTBEAT_PATH:
            return await self._heartbeat(request) if method == "POST" else _wrong_method()
        if path == "/ready":
            return self._ready() if method == "GET" else _wrong_method()
        if path == "/submissions":
            return await self._submit(request) if method == "POST" else _wrong_method()
        parts = path.split("/")
        if len(parts) == 3 and parts[1] == "submissions":
            return await self._about(parts[2], "status") if method == "GET" else _wrong_method()
        if len(parts) == 4 and parts[1] == "submissions" and parts[3] == "withdraw":
            return await self._about(parts[2], "withdraw") if method == "POST" else _wrong_method()
        return Response(404, {"error": "no such path"})

    def _ready(self) -> Response:
        if not self._gate.admitted:
            return retry_later(503, SOON, "not admitted")
        leader = self._election.leader
        now = self._clock()
        if self._intake() is not None or (leader is not None and self._peers.is_connected(leader)):
            self._served_at = now
            self._ever = True
        other = leader is not None and leader != self._node
        if self._ever and now - self._served_at < (CUT_OFF if other else VACANT):
            return Response(200, {"ready": True})
        return retry_later(503, SOON, "no leader")

    async def _submit(self, request: Request) -> Response:
        try:
            body = decode_body(request.body)
            job_id = job_id_of(body)
        except (MalformedBodyError, InvalidSubmissionError) as error:
            return Response(400, {"error": str(error)})
        ask = ForwardedRequest(0, "submit", job_id)
        try:
            ask.body = msgspec.to_builtins(read_submission(body))
        except InvalidSubmissionError as error:
            ask.fault = str(error)
        return await self._ask(ask)

    async def _about(self, job_id: str, verb: str) -> Response:
        if not JOB_ID.match(job_id):
            return Response(404, {"error": "no such job"})
        return await self._ask(ForwardedRequest(0, verb, job_id))

    async def _ask(self, ask: ForwardedRequest) -> Response:
        if not self._gate.admitted:
            return self._elsewhere("not admitted")
        if self._load.rejects(KINDS[ask.verb]):
            return TOO_MUCH
        if self._intake() is not None:
            return await self._here(ask)
        leader = self._election.leader
        if leader is None or leader == self._node:
            return self._elsewhere("no leader")
        asked = self._clock()
        ask.fencing_token = self._election.highest_seen_token
        try:
            reply = await self._peers.request(leader, ask, ASK_TIME[ask.verb])
        except PeerUnreachableError:
            return self._elsewhere("the leader does not answer")

        def fresh() -> bool:
            # Neither has this node stood still with the answer, nor is a newer leader known.
            return (
                self._clock() - asked <= ASK_TIME[ask.verb] and reply.fencing_token >= self._election.highest_seen_token
            )

        after = None if reply.retry_after_s is None else seconds(reply.retry_after_s)
        return Response(reply.status, reply.body, after, precondition=None if reply.status == 503 else fresh)

    def _elsewhere(self, why: str) -> Response:
        """The user is to ask again; of a node that is not ready, on a connection to another node.

        The load balancer sends new connections elsewhere by then, but leaves open ones where they
        are for seconds more, on which the user would ask here again and again.
        """
        response = retry_later(503, SOON, why)
        response.close = self._ready().status != 200
        return response

    async def _here(self, ask: ForwardedRequest) -> Response:
        """Answers as the leader, with a view that is complete and a lease that surely holds."""
        intake = self._intake()
        if intake is None or not self._election.holds_lease():
            return retry_later(503, SOON, "not leading")
        response = await self._from(intake, ask)
        if response.status != 503:
            response.precondition = intake.sure
        return response

    async def _from(self, intake: JobService, ask: ForwardedRequest) -> Response:
        if ask.verb == "submit":
            job = None
            if ask.body is not None:
                try:
                    job = read_submission(ask.body)
                except InvalidSubmissionError as error:
                    ask.fault = str(error)
            return await intake.submit(ask.job_id, job, ask.fault)
        if ask.verb == "withdraw":
            return await intake.withdraw(ask.job_id)
        if ask.verb == "status":
            return intake.status(ask.job_id)
        return Response(400, {"error": "unknown request"})

    async def answer(self, ask: ForwardedRequest) -> ForwardedResponse:
        """A question that came over the peer link, for the term that the asker knows."""
        if ask.verb == CONFIRM_NO_LATER_TERM:
            return ForwardedResponse(
                ask.number,
                200 if self._election.has_won_no_later_term(ask.fencing_token) else 503,
                fencing_token=ask.fencing_token,
            )
        if ask.verb == GET_PROCESS:
            return ForwardedResponse(ask.number, 200, {"process": self._gate.process}, fencing_token=ask.fencing_token)
        intake = self._intake()
        if ask.verb in KINDS and self._load.rejects(KINDS[ask.verb]):
            response = TOO_MUCH
        elif intake is None or ask.fencing_token != intake.fencing_token:
            response = retry_later(503, SOON, "not leading")
        else:
            response = (await self._here(ask)).checked()
        after = None if response.retry_after is None else response.retry_after.total_seconds()
        return ForwardedResponse(ask.number, response.status, response.body, after, ask.fencing_token)


def _wrong_method() -> Response:
    return Response(405, {"error": "wrong method"})
