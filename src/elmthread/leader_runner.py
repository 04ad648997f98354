"""Runs a leader for each term that this node wins."""

import asyncio
import logging

from elmthread.api.job_service import JobService
from elmthread.leader import Leader, NodeServices
from elmthread.leadership.step_down import StepDownReason
from elmthread.limits import FOLLOWER_STORE_SHARE, LEADER_STORE_SHARE
from elmthread.net.http_messages import Request, Response
from elmthread.reachability.monitor import PeerConnections
from elmthread.rollout.gate import IncompatibleLevelError
from elmthread.store.token_bucket import TokenBucket

log = logging.getLogger(__name__)


class LeaderRunner:
    """Starts and stops the leader of each of this node's terms; a `leadership.listener.LeadershipListener`."""

    def __init__(self, services: NodeServices, store_rate_limit: TokenBucket, peers: PeerConnections) -> None:
        """Begin without a leader.

        `store_rate_limit` limits this node's requests to the key-value store; its rate is higher while this node leads.
        """
        self.services = services
        self._store_rate_limit = store_rate_limit
        self._peers = peers
        self.leader: Leader | None = None
        self.task: asyncio.Task[None] | None = None

    def on_elected(self, fencing_token: int) -> None:
        """Start a leader for the term of that fencing token."""
        self._set_store_share(LEADER_STORE_SHARE)
        self.leader = Leader(self.services, fencing_token)
        self.services.reachability.term = self.leader.reachability
        self.task = asyncio.get_running_loop().create_task(self._run(self.leader))
        self._peers.announce()

    def on_lost(self) -> None:
        """Stop the leader of the term that has ended: nothing more is done under its fencing token."""
        self._set_store_share(FOLLOWER_STORE_SHARE)
        if self.leader is not None:
            self.leader.stop()
        if self.task is not None:
            self.task.cancel()
        reachability = self.services.reachability
        self.leader = self.task = reachability.term = None
        reachability.leader_ready.clear()
        self._peers.announce()

    async def _run(self, leader: Leader) -> None:
        try:
            await leader.run()
        except asyncio.CancelledError:
            raise
        except IncompatibleLevelError:
            # The compatibility gate has already logged the reason and made this node step down.
            pass
        except Exception:
            # Another leader, which loads the cluster state anew, may not run into the same error.
            log.exception("the leader failed with an unexpected error")
            leader.term.step_down(StepDownReason.FAULT)

    def _set_store_share(self, share: float) -> None:
        rate = self.services.platform.cluster.store.strictest().rps * share
        self._store_rate_limit.rate = self._store_rate_limit.burst = rate

    def leading_service(self) -> JobService | None:
        """Return the leader's job service if its lease certainly holds and the cluster state is loaded, else None."""
        if self.leader is not None and self.leader.loaded and self.services.election.holds_lease():
            return self.leader.job_service
        return None

    async def heartbeat(self, request: Request) -> Response:
        """Return the leader's response to a worker's heartbeat, or a redirection if this node has no loaded leader."""
        leader = self.leader
        if leader is None or not leader.loaded:
            election, reachability = self.services.election, self.services.reachability
            other = None if election.leader == self.services.platform.node else election.leader
            redirection = reachability.redirect(request, other, election.highest_seen_token)
            if redirection.leader is not None or not await reachability.wait_until_leading():
                return redirection.response()
            leader = self.leader
            if leader is None:
                return redirection.response()
        return await leader.heartbeat_handler.handle(request)
