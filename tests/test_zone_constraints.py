"""Jobs whose tasks must all be in one zone, or spread over zones, while zones are cut off and leaders change."""

import asyncio
from collections import Counter

import pytest

from tests.world.day import day
from tests.world.machine_faults import cut_off_workers
from tests.world.scenario import Scenario
from tests.world.specs import job
from tests.world.world import LEASE_S, World

CUT_ZONE, OTHER_ZONE = "north", "east"
BLOCKER, ONE_ZONE_JOB, WAITING_IN_OTHER_ZONE = 1, 2, 3


def zones_of(world: World, number: int) -> dict[str, int]:
    """Return how many tasks of the job are on machines now, by zone."""
    return dict(+world.rules.zones_of.get(f"run-{number:06d}", Counter()))


async def move_job_to_another_zone(world: World) -> None:
    """Cut off the zone of a one_zone job until part of it runs in another zone, and restore the link."""
    blocker = job(BLOCKER, pieces=8, yard=OTHER_ZONE, true_s=16.0, expected_s=16.0)
    assert await world.submit(blocker)
    await asyncio.sleep(6)
    assert zones_of(world, BLOCKER) == {OTHER_ZONE: 8}
    assert await world.submit(job(ONE_ZONE_JOB, pieces=14, one_zone=True, true_s=120.0, expected_s=120.0))
    await asyncio.sleep(6)
    assert zones_of(world, ONE_ZONE_JOB) == {CUT_ZONE: 14}
    inside = [name for name, worker in world.workers.items() if worker.zone == CUT_ZONE]
    cut_off_workers(Scenario(world), inside, 2 * LEASE_S)
    await asyncio.sleep(2 * LEASE_S)
    assert zones_of(world, ONE_ZONE_JOB) == {OTHER_ZONE: 8}
    # More work for the other zone, so that the remaining tasks of the job keep waiting.
    assert await world.submit(job(WAITING_IN_OTHER_ZONE, pieces=8, yard=OTHER_ZONE, true_s=30.0, expected_s=30.0))


@pytest.mark.parametrize("machine_lost", [False, True])
def test_new_leader_starts_no_one_zone_job_in_a_zone_that_it_has_left(machine_lost: bool) -> None:
    """Guard against a new leader that takes stored assignments of an abandoned zone for a permission to use it."""

    async def script(world: World) -> None:
        await move_job_to_another_zone(world)
        await asyncio.sleep(8)
        if machine_lost:
            # Its stored assignments are released only after its worker lease, in the term of the next leader.
            lost = next(name for name, worker in world.workers.items() if worker.zone == CUT_ZONE)
            world.workers[lost].hung = True
        assert world.leader is not None
        world.kill(world.leader.node)
        await asyncio.sleep(40)
        # The waiting tasks begin in the zone of the others once that is certain.
        assert (await world.wait_until_finished([f"run-{ONE_ZONE_JOB:06d}"], 400)) == {
            f"run-{ONE_ZONE_JOB:06d}": "done"
        }

    def rent_machines(world: World) -> None:
        for zone, count in ((CUT_ZONE, 4), (OTHER_ZONE, 2)):
            for _ in range(count):
                world.rent("small", zone)

    for seed in range(4):
        day(script, seed=seed, machines=0, each=0, before=rent_machines)
