"""Compatibility of this version with the one in production: each reads the records and messages of the other.

`samples/production.json` was written by the version in production, called the earlier version here, in the
simulation of its own tests. A strict model of its reader (`tests/world/earlier_reader.py`) reads what this version,
the newer one, writes.
"""

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from elmthread.api.messages import read_submission
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement, decode, encode
from tests.world import earlier_reader
from tests.world.day import day
from tests.world.random_faults import inject_fault, restore
from tests.world.specs import daemon, job, submission_body
from tests.world.stored import stored_records
from tests.world.upgrades import configure_earlier_version, lower_store_limits, upgrade
from tests.world.world import World

SAMPLES: dict[str, Any] = json.loads((Path(__file__).parent / "samples" / "production.json").read_text())


def sample_store() -> dict[str, Any]:
    return {key: value for key, value, _ in SAMPLES["store"]}


def test_the_model_reads_what_the_earlier_version_wrote() -> None:
    view = earlier_reader.read(sample_store())
    assert set(SAMPLES["told"]) == set(view.jobs)
    for job_id, reported_state in SAMPLES["told"].items():
        assert view.jobs[job_id]["state"] in (
            [reported_state] if reported_state in ("done", "cancelled") else ["open", "done"]
        )
    assert view.types and view.machines
    # Every task that ran when the samples were written is assigned to its machine, unless it had just ended.
    done = set(SAMPLES["done"])
    assert {(machine, task) for machine, task in SAMPLES["where"] if task not in done} <= view.holds
    for job_id, done_tasks in view.done.items():
        assert {f"{job_id}/{task}" for task in done_tasks} <= done
    for text in SAMPLES["frames"]:
        earlier_reader.frame(text)


def test_the_model_refuses_what_the_earlier_version_could_not_read() -> None:
    """Guard against a model that accepts everything and would detect nothing."""
    spec = submission_body(daemon(1))
    unreadable_records: list[dict[str, Any]] = [
        {"j/run-000001": {"state": "open", "tasks": 3, "at": 1.0, "chunk": 64, "spec": spec}},
        {"j/run-000001": {"state": "standing", "tasks": 3}},
        {"j/run-000001": {"state": "done", "tasks": 3, "form": "batch"}},
        {"m/m-000001": {"build": "small", "zone": "east"}},
        {"m/m-000001": {"build": "small", "zone": "east", "spot": False, "holds": {"run-000001": [1]}}},
        {"t/types": [{"name": "small"}]},
    ]
    for records in unreadable_records:
        with pytest.raises((earlier_reader.UnreadableError, KeyError)):
            earlier_reader.read({"s/0000": {"number": 1, "text": json.dumps(records)}})
    with pytest.raises(earlier_reader.UnreadableError):
        earlier_reader.frame('{"kind":"lead","leader":"loom-0","token":3,"version":2}')


def test_the_newer_version_loads_what_the_earlier_one_wrote() -> None:
    view = earlier_reader.read(sample_store())

    async def script(world: World) -> None:
        for job_id, record in view.jobs.items():
            state = await world.poll(job_id)
            assert state == record["state"] or (record["state"] == "open" and state in ("queued", "running"))
        assert world.leader is not None and world.leader.leader is not None
        cluster = world.leader.leader.cluster
        allocations = [allocation for one in cluster.machines.values() for allocation in one.allocations.values()]
        assigned = {(allocation.machine.name, f"{allocation.job.id}/{allocation.task}") for allocation in allocations}
        assert assigned == view.holds
        for job_id, done_tasks in view.done.items():
            loaded_job = cluster.jobs[job_id]
            assert {task for task in range(loaded_job.task_count) if loaded_job.is_done(task)} == done_tasks
        assert set(world.leader.leader.catalog.types) == {machine_type["name"] for machine_type in view.types}

    def before(world: World) -> None:
        world.limits = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}
        for key, value, mod_revision in SAMPLES["store"]:
            if key != "leader":
                world.store.items[key] = (value, mod_revision, None)
                world.store.revision = max(world.store.revision, mod_revision)
        for job_id, record in view.jobs.items():
            world.rules.submitted({**job(1), **record.get("spec", {}), "name_id": job_id, "pieces": record["tasks"]})
        world.rules.finished |= set(SAMPLES["done"])
        world.rules.asked_to_cancel |= {job_id for job_id, one in view.jobs.items() if one["state"] == "cancelled"}

    async def script_once_loaded(world: World) -> None:
        # Check the state as loaded, before the leader acts on expired leases.
        while world.leader is None or world.leader.leader is None or not world.leader.leader.loaded:
            await asyncio.sleep(0.05)
        await script(world)

    day(script_once_loaded, machines=0, before=before)


def test_messages_between_controllers_match_the_earlier_version() -> None:
    for text in SAMPLES["frames"]:
        message = decode(text.encode())
        assert json.loads(encode(message)) == json.loads(text)
    spec = submission_body(job(1))
    for message in (
        LeaderAnnouncement("loom-1", 41, "loom-0", 2, [("m-000001", 1, 88)], 46),
        ForwardedRequest(5, "submit", "run-000001", 41, msgspec.to_builtins(read_submission(spec))),
        ForwardedResponse(5, 201, {"name_id": "run-000001"}, None, 41),
    ):
        earlier_reader.frame(encode(message).decode())


def check_earlier_reader(world: World) -> None:
    """Check that a leader of the earlier version would read all that is stored now, and read it correctly."""
    view = earlier_reader.read(world.store.values())
    for job_id, reported_state in world.rules.reported_states.items():
        state = view.jobs[job_id]["state"]
        assert state == reported_state or (
            reported_state not in ("done", "cancelled") and state in ("open", "done", "cancelled")
        )
    for job_id, done_tasks in view.done.items():
        assert {f"{job_id}/{task}" for task in done_tasks} <= world.rules.finished
    # Each running task is stored as assigned to its machine, unless its end is stored.
    for machine, task in world.rules.running:
        job_id, _, index = task.rpartition("/")
        over = view.jobs[job_id]["state"] == "done" or int(index) in view.done.get(job_id, ())
        assert (machine, task) in view.holds or over, (machine, task)
    if world.leader is not None and world.leader.leader is not None and world.leader.leader.loaded:
        stored = stored_records(world.store)
        assert {key[2:] for key in stored if key.startswith("j/")} == set(view.jobs)


async def submit_jobs_of_many_sizes(world: World) -> list[str]:
    ids = []
    for number in range(24):
        spec = job(
            number,
            crew="red" if number % 3 else "blue",
            pieces=(pieces := world.rng.choice([1, 4, 300])),
            cpus=0.1 if pieces == 300 else 1.0,
            ram_gb=0.1,
            true_s=world.rng.uniform(2, 20),
            builds=["large", *(f"other-{n}" for n in range(20))] if number % 5 == 0 else None,
            due_s=60.0 if number % 4 == 0 else None,
        )
        if await world.submit(spec):
            ids.append(spec["name_id"])
    return ids


@pytest.mark.parametrize("seed", range(4))
def test_an_earlier_leader_finds_all_that_the_newer_version_stored(seed: int) -> None:
    """Check at many moments before all nodes are upgraded that the earlier version reads the store correctly."""

    async def script(world: World) -> None:
        checks = 0

        async def check_often(times: int, interval_s: float) -> None:
            nonlocal checks
            for _ in range(times):
                await asyncio.sleep(interval_s)
                check_earlier_reader(world)
                checks += 1

        ids = await submit_jobs_of_many_sizes(world)

        async def fault_and_checks() -> None:
            await inject_fault(
                world, world.rng.choice(["kill", "back", "still", "lossy", "die", "cancel", "step_down"]), ids
            )
            await check_often(20, 0.3)

        # Until the last node is upgraded, the next leader may run the earlier version, whichever node leads now.
        await upgrade(world, world.nodes[:2], 3.0, fault_and_checks)
        await check_often(60, 0.5)
        restore(world)
        await upgrade(world, world.nodes[2:], 10.0)
        lower_store_limits(world)
        states = await world.wait_until_finished(ids, 400)
        assert all(state in ("done", "cancelled") for state in states.values()), states
        assert checks > 90

    day(script, seed=seed, before=configure_earlier_version)


def test_the_first_service_is_written_only_when_one_is_submitted() -> None:
    """Check that no service is stored unasked: users submit the first one only once all nodes are upgraded."""

    async def script(world: World) -> None:
        assert await world.submit(job(1))
        await asyncio.sleep(5)
        earlier_reader.read(world.store.values())
        # A node that is down at that moment does not prevent the submission.
        world.kill(next(node for node in world.nodes if world.controllers[node] is not world.leader))
        assert await world.submit(daemon(2), 5)
        with pytest.raises(earlier_reader.UnreadableError):
            earlier_reader.read(world.store.values())

    day(script)
