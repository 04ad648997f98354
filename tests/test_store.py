"""Loading the store: migration of the earlier layout, unreadable records, and thousands of finished jobs."""

import asyncio
from typing import Any

import pytest

from elmthread.leadership.step_down import StepDownReason
from elmthread.store.pages import PAGE_PREFIX
from tests.world.day import day
from tests.world.error_log import errors_logged
from tests.world.loop import play
from tests.world.specs import job
from tests.world.stored import stored_records
from tests.world.world import World


def put(world: World, key: str, value: Any) -> None:
    world.store.revision += 1
    world.store.items[key] = (value, world.store.revision, None)


def test_store_of_the_earlier_layout_is_migrated_once() -> None:
    async def script(world: World) -> None:
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}
        assert await world.poll("run-000002") == "done"
        assert await world.poll("run-000003") is None
        # Tasks 0 to 2 were done before.
        assert {task for task in world.rules.starts if task.startswith("run-000001")} == {"run-000001/3"}
        # From now on the keys of the earlier layout are ignored, even if they change.
        await asyncio.sleep(8)
        put(world, "j/run-000002", {"state": "cancelled", "tasks": 4})
        assert world.leader is not None
        world.leader.election.step_down(StepDownReason.FAULT)
        await asyncio.sleep(8)
        assert await world.poll("run-000002") == "done"
        assert stored_records(world.store)["j/run-000002"] == {"state": "done", "tasks": 4}

    def before(world: World) -> None:
        spec = job(1, true_s=4.0)
        world.rules.submitted(dict(spec))
        world.rules.submitted(job(2))
        world.rules.finished |= {f"run-000001/{n}" for n in range(3)} | {f"run-000002/{n}" for n in range(4)}
        del spec["true_s"]
        put(world, "j/run-000001", {"state": "open", "tasks": 4, "at": 1.0, "chunk": 64, "spec": spec})
        put(world, "j/run-000002", {"state": "done", "tasks": 4})
        put(world, "d/run-000001/0000", {"marks": "0700000000000000"})
        machine = {"build": "small", "zone": "east", "spot": False, "address": "10.1.0.9:9000"}
        put(world, "m/m-000900", machine | {"holds": {"run-000001": [2, 70000001]}})

    day(script, before=before)


@pytest.mark.parametrize(
    ("value", "expected_key"),
    [
        ({"number": 1, "text": '{"j/run-000001":{"state":"open"'}, "s/0000"),
        ({"number": 1, "text": '{"j/run-000001":{"state":"ajar","tasks":4}}'}, "j/run-000001"),
        ({"number": 1, "text": '{"m/m-000001":{"build":"small"}}'}, "m/m-000001"),
    ],
)
def test_unreadable_records_are_logged_by_key_and_never_treated_as_empty(value: Any, expected_key: str) -> None:
    world = World()
    put(world, "s/0000", value)

    async def main() -> None:
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(10)
        for node in world.nodes:
            response = await world.ask("GET", "/submissions/run-000001", node=node)
            assert response.status == 503 and response.retry_after is not None
        assert world.store.items["s/0000"][0] == value

    with errors_logged() as lines:
        play(main(), world.loop)
    assert lines and all(expected_key in line for line in lines)
    # The nodes do not overload the store with retries either.
    assert len(lines) < 30


def test_thousands_of_finished_jobs_do_not_delay_a_new_leader() -> None:
    """Check that a new leader loads all final states, which are kept for ever, and answers for every job at once."""
    count = 4000

    async def script(world: World) -> None:
        assert await world.submit(job(9000, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(6)
        assert world.leader is not None
        world.kill(world.leader.node)
        killed_at = world.loop.now
        world.rules.faults_cleared_at = killed_at
        unanswered = {f"run-{number:06d}" for number in (1, 77, 1234, count - 1)} | {"run-009000"}
        while unanswered:
            for job_id in sorted(unanswered):
                if await world.poll(job_id) in ("done", "running"):
                    unanswered.discard(job_id)
            await asyncio.sleep(0.3)
            assert world.loop.now - killed_at < 8, unanswered
        assert (await world.wait_until_finished(["run-009000"], 60)) == {"run-009000": "done"}

    def before(world: World) -> None:
        ids = [f"run-{number:06d}" for number in range(count)]
        for job_id in ids:
            world.rules.submitted(job(0) | {"name_id": job_id, "pieces": 0})
        for offset in range(0, count, 100):
            text = ",".join(f'"j/{job_id}":{{"state":"done","tasks":4}}' for job_id in ids[offset : offset + 100])
            put(world, f"{PAGE_PREFIX}{offset // 100:04d}", {"number": offset + 1, "text": "{" + text + "}"})

    day(script, before=before)
