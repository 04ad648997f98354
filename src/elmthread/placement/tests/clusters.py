"""Test data for placement: requests and machines."""

import math
import random

from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest


def make_request(job: str, count: int, cpus: float, team: str = "t", urgent: bool = False) -> TaskRequest:
    """Return a request with little memory and no other needs."""
    return TaskRequest(
        job_id=job,
        team=team,
        sort_key=SortKey(PlacementClass.URGENT),
        count=count,
        cpus=cpus,
        gpus=0.0,
        memory_gb=0.1,
        urgent=urgent,
    )


def random_cluster(
    rng: random.Random, machines: int, jobs: int
) -> tuple[list[TaskRequest], list[FreeCapacity], dict[str, RemainingQuota]]:
    """Return random requests, machines of three types in three zones (some full, some with images), and quotas."""
    type_specs = [("s", 4.0, 0.025, 0.2), ("m", 8.0, 0.031, 0.5), ("l", 64.0, 0.04, 0.6)]
    capacities = []
    for number in range(machines):
        machine_type, cores, price, rate = rng.choices(type_specs, [6, 3, 1])[0]
        spot = rng.random() < 0.8
        capacities.append(
            FreeCapacity(
                name=f"m-{number}",
                machine_type=machine_type,
                zone=rng.choice("xyz"),
                spot=spot,
                cpus=float(rng.randint(0, int(cores))),
                gpus=0.0,
                memory_gb=cores * 2,
                price_per_core=price if spot else price * 2.5,
                image_fetch_gb_per_s=rate,
                cached_images={f"i{n}": 1.0 for n in range(6) if rng.random() < 0.2},
                images_being_fetched={f"i{n}" for n in range(6, 8) if rng.random() < 0.2},
                record_bytes_left=rng.choice([math.inf, 60]),
                draining=rng.random() < 0.1,
            )
        )
    requests = []
    for number in range(jobs):
        urgent = rng.random() < 0.5
        requests.append(
            TaskRequest(
                job_id=f"j{number}",
                team=rng.choice(["t1", "t2", "t3"]),
                sort_key=SortKey(PlacementClass.URGENT if urgent else PlacementClass.ON_TIME, 0, float(number)),
                count=rng.randint(1, 60),
                cpus=rng.choice([1.0, 2.0, 3.0]),
                gpus=0.0,
                memory_gb=rng.choice([1.0, 3.0]),
                image=f"i{rng.randint(0, 7)}",
                image_gb=rng.uniform(0.5, 3.0),
                machine_types=rng.choice([None, None, frozenset({"m", "l"})]),
                spot=rng.random() < 0.9,
                one_zone=rng.random() < 0.1,
                max_per_zone=rng.choice([math.inf, math.inf, 9.0]),
                excluded_machines={f"m-{rng.randrange(machines)}" for _ in range(3)},
                urgent=urgent,
                record_bytes_per_job=18,
                record_bytes_per_task=14,
                preferred_max_per_machine=rng.choice([math.inf, math.inf, 2]),
                tasks_by_machine={"m-1": 1},
            )
        )
    requests.sort(key=lambda request: request.sort_key)
    return requests, capacities, {"t1": RemainingQuota(300.0), "t2": RemainingQuota(90.0), "t3": RemainingQuota()}
