"""Changes of the leader: the former and the new one decide, answer and request nothing twice."""

import asyncio
from functools import partial
from typing import Any

import pytest

from elmthread.leadership.step_down import StepDownReason
from elmthread.peers.messages import ForwardedRequest
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World, start


def test_controllers_that_restart_at_once_elect_a_leader_in_seconds() -> None:
    async def script(world: World) -> None:
        ids = []
        for number in range(5):
            assert await world.submit(job(number, pieces=12, true_s=9.0, expected_s=9.0))
            ids.append(f"run-{number:06d}")
        for round_number in range(12):
            # Messages of a killed process still arrive, and must not pass for messages of the next process of its node.
            for node in list(world.nodes) if round_number % 2 else [world.rng.choice(world.nodes)]:
                if node in world.controllers:
                    world.kill(node)
                    world.loop.call_later(world.rng.uniform(0.02, 0.4), partial(start, world, node))
            await asyncio.sleep(world.rng.choice([0.1, 0.5, 3.0]))
        waiting_since = world.loop.now
        while world.leader is None or not world.leader.leader.loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.1)
        assert world.loop.now - waiting_since < 3
        assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}

    for seed in range(6):
        day(script, seed=seed)


def test_duplicated_requests_to_services_have_no_further_effect() -> None:
    """Repeat transactions, renewals and releases of leases, and requests and deletions of machines at a later time."""

    async def script(world: World) -> None:
        for node in world.nodes:
            for port in world.ports[node]:
                port.faults.duplicate_share = 0.5
        ids = []
        for number in range(6):
            spec = job(number, pieces=30, true_s=8.0, expected_s=8.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        await asyncio.sleep(5)
        assert await world.withdraw(ids[0]) == "cancelled"
        assert await world.withdraw(ids[0]) == "cancelled"
        assert world.leader is not None
        world.leader.election.step_down(StepDownReason.FAULT)
        await asyncio.sleep(5)
        assert (await world.ask("POST", "/submissions", job(0, pieces=30))).body["status"] == "cancelled"
        states = await world.wait_until_finished(ids, 300)
        assert set(states.values()) == {"done", "cancelled"}

    for seed in range(3):
        day(script, seed=seed)


def test_new_leader_rents_nothing_for_tasks_that_existing_machines_will_run() -> None:
    """Guard against a new leader that rents machines for all waiting tasks before workers report, as in an incident."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=150, true_s=10.0, expected_s=10.0))
        await asyncio.sleep(12)
        for number in range(2, 5):
            assert await world.submit(job(number, pieces=20, true_s=10.0, expected_s=10.0))
        await asyncio.sleep(8)
        assert world.leader is not None
        requests_before = dict(world.cloud.requests)
        world.kill(world.leader.node)
        await asyncio.sleep(8)
        assert world.leader is not None and world.cloud.requests == requests_before
        ids = [f"run-{number:06d}" for number in range(1, 5)]
        assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}

    day(script, machines=8, each=20)


# A controller is suspended while its clocks run on


@pytest.mark.parametrize("suspended_s", [1.0, 2.6, 3.3, 4.4, 12.0, 28.0])
def test_suspended_leader_carries_out_no_outdated_decision(suspended_s: float) -> None:
    """Suspend the leader amid responses, store writes, machine requests and forwarded requests, under load."""

    async def script(world: World) -> None:
        ids = []
        for number in range(12):
            spec = job(number, crew="red" if number % 3 else "blue", pieces=12, true_s=9.0, expected_s=9.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        old = world.leader
        assert old is not None
        name = old.node
        polls = [asyncio.create_task(world.poll(job_id, node)) for job_id in ids for node in world.nodes]
        cancellation = asyncio.create_task(world.withdraw(ids[0]))
        await asyncio.sleep(world.rng.uniform(0.0, 0.1))
        suspended_at = world.loop.now
        await world.suspend(name, suspended_s)
        if suspended_s > 4:
            assert world.leader is not None and world.leader is not old
        await asyncio.gather(*polls)
        await asyncio.sleep(2)
        if suspended_s > 4:
            # The former leader has ended its term, and every controller knows only the newer one.
            tokens = {controller.election.highest_seen_token for controller in world.controllers.values()}
            assert len(tokens) == 1 and old.leader is None
        # The cancellation may have come after the job's end; either way, the reported state must not change.
        final_state = await cancellation
        states = await world.wait_until_finished(ids, 300)
        assert states.pop(ids[0]) == final_state in ("cancelled", "done") and set(states.values()) == {"done"}
        assert world.loop.now - suspended_at < 200

    for seed in range(4):
        day(script, seed=seed)


# Messages of another term


def test_forwarded_requests_and_responses_of_another_term_are_rejected() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, true_s=30.0, expected_s=30.0))
        assert world.leader is not None
        leader = world.leader
        forwarded = ForwardedRequest(1, "status", "run-000001", leader.election.fencing_token)
        assert (await leader.api.handle_peer_request(forwarded)).status == 200
        for fencing_token in (forwarded.fencing_token - 1, forwarded.fencing_token + 1, 0):
            reply = await leader.api.handle_peer_request(ForwardedRequest(1, "status", "run-000001", fencing_token))
            assert reply.status == 503 and reply.retry_after_s
        # A follower that has observed a newer term returns no response of the older one.
        follower = next(one for one in world.controllers.values() if one is not leader)
        name = follower.node
        assert (await world.ask("GET", "/submissions/run-000001", node=name)).status == 200
        send_request = follower.peers.request

        async def request_overtaken_by_a_newer_term(*args: Any) -> Any:
            reply = await send_request(*args)
            follower.election.observe_term(forwarded.fencing_token + 5, leader.node)
            return reply

        follower.peers.request = request_overtaken_by_a_newer_term  # type: ignore[method-assign,assignment]
        assert (await world.ask("GET", "/submissions/run-000001", node=name)).status == 503

    day(script)
