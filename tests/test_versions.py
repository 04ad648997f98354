"""Two versions on each other's data: what each stores and says, read by the other.

The samples were made by running the version in production in the simulated world of its own
tests. What the newer version writes is read by a strict model of that version's reader.
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
from tests.world.random_troubles import inject_fault, restore
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
    for job_id, told in SAMPLES["told"].items():
        assert view.jobs[job_id]["state"] in ([told] if told in ("done", "cancelled") else ["open", "done"])
    assert view.types and view.machines
    # All that ran then is accounted for, but for what had just ended.
    done = set(SAMPLES["done"])
    assert {(machine, task) for machine, task in SAMPLES["where"] if task not in done} <= view.holds
    for job_id, marked in view.done.items():
        assert {f"{job_id}/{task}" for task in marked} <= done
    for text in SAMPLES["frames"]:
        earlier_reader.frame(text)


def test_the_model_refuses_what_the_earlier_version_could_not_read() -> None:
    """A reader that reads anything would find nothing."""
    spec = submission_body(daemon(1))
    bad: list[dict[str, Any]] = [
        {"j/run-000001": {"state": "open", "tasks": 3, "at": 1.0, "chunk": 64, "spec": spec}},
        {"j/run-000001": {"state": "standing", "tasks": 3}},
        {"j/run-000001": {"state": "done", "tasks": 3, "form": "batch"}},
        {"m/m-000001": {"build": "small", "zone": "east"}},
        {"m/m-000001": {"build": "small", "zone": "east", "spot": False, "holds": {"run-000001": [1]}}},
        {"t/types": [{"name": "small"}]},
    ]
    for records in bad:
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
        held = {(allocation.machine.name, f"{allocation.job.id}/{allocation.task}") for allocation in allocations}
        assert held == view.holds
        for job_id, marked in view.done.items():
            known = cluster.jobs[job_id]
            assert {task for task in range(known.task_count) if known.is_done(task)} == marked
        assert set(world.leader.leader.catalog.types) == {kind["name"] for kind in view.types}

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

    async def quickly(world: World) -> None:
        # Before leases are judged: what is loaded, not what has become of it since.
        while world.leader is None or world.leader.leader is None or not world.leader.leader.loaded:
            await asyncio.sleep(0.05)
        await script(world)

    day(quickly, machines=0, before=before)


def test_messages_between_controllers_are_those_of_the_earlier_version() -> None:
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
    """Check that an earlier leader would miss and mistake nothing of what is stored now."""
    view = earlier_reader.read(world.store.values())
    for job_id, told in world.rules.reported_states.items():
        state = view.jobs[job_id]["state"]
        assert state == told or (told not in ("done", "cancelled") and state in ("open", "done", "cancelled"))
    for job_id, marked in view.done.items():
        assert {f"{job_id}/{task}" for task in marked} <= world.rules.finished
    # No task is on a machine that the store does not name for it, unless its end is stored.
    for machine, task in world.rules.running:
        job_id, _, index = task.rpartition("/")
        over = view.jobs[job_id]["state"] == "done" or int(index) in view.done.get(job_id, ())
        assert (machine, task) in view.holds or over, (machine, task)
    if world.leader is not None and world.leader.leader is not None and world.leader.leader.loaded:
        known = stored_records(world.store)
        assert {key[2:] for key in known if key.startswith("j/")} == set(view.jobs)


async def submit_of_many_sizes(world: World) -> list[str]:
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
    """At any moment before all nodes are new, whoever leads: nothing is missed or mistaken."""

    async def script(world: World) -> None:
        checks = 0

        async def check_often(times: int, interval_s: float) -> None:
            nonlocal checks
            for _ in range(times):
                await asyncio.sleep(interval_s)
                check_earlier_reader(world)
                checks += 1

        ids = await submit_of_many_sizes(world)

        async def trouble() -> None:
            await inject_fault(
                world, world.rng.choice(["kill", "back", "still", "lossy", "die", "cancel", "step_down"]), ids
            )
            await check_often(20, 0.3)

        # Up to the last but one: whichever leads, an earlier version may be next.
        await upgrade(world, world.nodes[:2], 3.0, trouble)
        await check_often(60, 0.5)
        restore(world)
        await upgrade(world, world.nodes[2:], 10.0)
        lower_store_limits(world)
        states = await world.wait_until_finished(ids, 400)
        assert all(state in ("done", "cancelled") for state in states.values()), states
        assert checks > 90

    day(script, seed=seed, before=configure_earlier_version)


def test_the_first_service_is_written_only_when_one_is_asked_for() -> None:
    """Users ask for none before all nodes are new, so the first that is stored says that they are."""

    async def script(world: World) -> None:
        assert await world.submit(job(1))
        await asyncio.sleep(5)
        earlier_reader.read(world.store.values())
        # A node that is down at that moment keeps nobody from it.
        world.kill(next(node for node in world.nodes if world.controllers[node] is not world.leader))
        assert await world.submit(daemon(2), 5)
        with pytest.raises(earlier_reader.UnreadableError):
            earlier_reader.read(world.store.values())

    day(script)
