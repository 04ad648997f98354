"""All faults by name, and a continuous check of running and waiting tasks."""

import asyncio
from functools import partial
from typing import Any

from tests.world.controller_faults import all_end, leader_ends, leader_stands_still, leaders_change
from tests.world.machine_faults import (
    held_up,
    kept_for_the_next,
    late_reports,
    machines_deaf,
    machines_die,
    machines_hang,
    machines_mute,
    machines_reborn,
    quick_machines,
)
from tests.world.partition_faults import leader_apart, zone_cut
from tests.world.scenario import FaultScript
from tests.world.store_faults import answers_lost, late_writes, outage, refused_then_down, slow_store
from tests.world.user_faults import (
    cancel_and_hang,
    cancel_at_end,
    cancel_now,
    close_looks,
    odd_requests,
    overload,
    stream,
)
from tests.world.world import World

FAULT_SCRIPTS: dict[str, FaultScript] = {
    one.__name__: one
    for one in (
        leader_ends,
        all_end,
        leaders_change,
        leader_stands_still,
        leader_apart,
        zone_cut,
        refused_then_down,
        outage,
        late_writes,
        answers_lost,
        slow_store,
        machines_mute,
        machines_deaf,
        machines_hang,
        machines_die,
        machines_reborn,
        quick_machines,
        late_reports,
        held_up,
        kept_for_the_next,
        cancel_now,
        cancel_and_hang,
        cancel_at_end,
        stream,
        close_looks,
        odd_requests,
        overload,
    )
}


async def check_continuously(world: World) -> None:
    """Check continuously that no task runs too long after its cancellation or waits too long while there is room."""
    while True:
        await asyncio.sleep(0.25)
        world.rules.check_cancelled()
        world.rules.check_waiting(partial(_has_room, world))


def _has_room(world: World, spec: dict[str, Any]) -> bool:
    for worker in world.workers.values():
        live = [task for task in worker.tasks.values() if task.state != "exited"]
        used = sum(world.rules.specs[task.name.rpartition("/")[0]]["cpus"] for task in live)
        if (
            worker.interruption_at is None
            and (spec["builds"] is None or worker.machine_type["name"] in spec["builds"])
            and spec["yard"] in (None, worker.zone)
            and (spec["loaners"] or not worker.spot)
            and not spec["one_zone"]
            and not spec["scatter"]
            and worker.machine_type["cpus"] - used >= spec["cpus"]
        ):
            return True
    return False
