"""What a new leader and a former one may do: nothing is decided, answered or requested twice."""

import asyncio
from functools import partial
from typing import Any

import pytest

from elmthread.leadership.step_down import StepDownReason
from elmthread.peers.messages import ForwardedRequest
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World, start


def test_controllers_back_at_once_elect_a_leader_in_seconds() -> None:
    async def script(world: World) -> None:
        ids = []
        for number in range(5):
            assert await world.submit(job(number, pieces=12, true_s=9.0, expected_s=9.0))
            ids.append(f"run-{number:06d}")
        for turn in range(12):
            # Two processes of one node never count as one: what the first had sent still arrives.
            for node in list(world.nodes) if turn % 2 else [world.rng.choice(world.nodes)]:
                if node in world.controllers:
                    world.kill(node)
                    world.loop.call_later(world.rng.uniform(0.02, 0.4), partial(start, world, node))
            await asyncio.sleep(world.rng.choice([0.1, 0.5, 3.0]))
        asked = world.loop.now
        while world.leader is None or not world.leader.leader.loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.1)
        assert world.loop.now - asked < 3
        assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}

    for seed in range(6):
        day(script, seed=seed)


def test_changes_carried_out_a_second_time_change_nothing() -> None:
    """Transactions, grants given back or extended, rentals, deletions: all come again later."""

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


def test_new_leader_rents_nothing_for_work_that_its_machines_will_take() -> None:
    """Seen in an incident: before the workers had reported to it, a new leader rented for all that waited."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=150, true_s=10.0, expected_s=10.0))
        await asyncio.sleep(12)
        for number in range(2, 5):
            assert await world.submit(job(number, pieces=20, true_s=10.0, expected_s=10.0))
        await asyncio.sleep(8)
        assert world.leader is not None
        rented = dict(world.cloud.requests)
        world.kill(world.leader.node)
        await asyncio.sleep(8)
        assert world.leader is not None and world.cloud.requests == rented
        ids = [f"run-{number:06d}" for number in range(1, 5)]
        assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}

    day(script, machines=8, each=20)


# A controller stands still, its clocks run on


@pytest.mark.parametrize("still", [1.0, 2.6, 3.3, 4.4, 12.0, 28.0])
def test_leader_that_stood_still_says_and_does_nothing_of_what_it_had_decided(still: float) -> None:
    """In the middle of answers, records, rentals and forwarded questions, with all that goes on."""

    async def script(world: World) -> None:
        ids = []
        for number in range(12):
            spec = job(number, crew="red" if number % 3 else "blue", pieces=12, true_s=9.0, expected_s=9.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        old = world.leader
        assert old is not None
        name = old.node
        asking = [asyncio.create_task(world.poll(job_id, node)) for job_id in ids for node in world.nodes]
        withdrawn = asyncio.create_task(world.withdraw(ids[0]))
        await asyncio.sleep(world.rng.uniform(0.0, 0.1))
        stood = world.loop.now
        await world.suspend(name, still)
        if still > 4:
            assert world.leader is not None and world.leader is not old
        await asyncio.gather(*asking)
        await asyncio.sleep(2)
        if still > 4:
            # It has noticed, and a newer leadership is all that anybody hears of.
            tokens = {controller.election.highest_seen_token for controller in world.controllers.values()}
            assert len(tokens) == 1 and old.leader is None
        # The withdrawal may have come after the job's end; either answer stays.
        end = await withdrawn
        states = await world.wait_until_finished(ids, 300)
        assert states.pop(ids[0]) == end in ("cancelled", "done") and set(states.values()) == {"done"}
        assert world.loop.now - stood < 200

    for seed in range(4):
        day(script, seed=seed)


# Frames of another leadership


def test_questions_and_answers_of_another_leadership_are_dropped() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, true_s=30.0, expected_s=30.0))
        assert world.leader is not None
        leader = world.leader
        asked = ForwardedRequest(1, "status", "run-000001", leader.election.fencing_token)
        assert (await leader.api.handle_peer_request(asked)).status == 200
        for fencing_token in (asked.fencing_token - 1, asked.fencing_token + 1, 0):
            reply = await leader.api.handle_peer_request(ForwardedRequest(1, "status", "run-000001", fencing_token))
            assert reply.status == 503 and reply.retry_after_s
        # A follower that has heard of a newer leadership passes on nothing of the older one.
        other = next(one for one in world.controllers.values() if one is not leader)
        name = other.node
        assert (await world.ask("GET", "/submissions/run-000001", node=name)).status == 200
        ask = other.peers.request

        async def overtaken(*args: Any) -> Any:
            reply = await ask(*args)
            other.election.observe_term(asked.fencing_token + 5, leader.node)
            return reply

        other.peers.request = overtaken  # type: ignore[method-assign,assignment]
        assert (await world.ask("GET", "/submissions/run-000001", node=name)).status == 503

    day(script)
