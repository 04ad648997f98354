"""Stored records and messages between controllers, validated against the schemas of their level.

`schemas/level-N.json` defines what may be written and sent while level N is active; `tools/schemas.py` writes the
newest one. A published file never changes, so a changed format needs a new level.
"""

import asyncio
import hashlib
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import jsonschema
import msgspec
import pytest

from elmthread.common.features import FIRST_LEVEL, SUPPORTED
from elmthread.peers import messages as peers
from elmthread.reachability.messages import read_view
from elmthread.rollout.records import FENCE_KEY, AnnouncementRecord, FenceRecord, LevelRecord, read_level
from elmthread.store.done_marks import MAX_TASKS_PER_CHUNK, done_tasks, read_done
from elmthread.store.machine_records import read_machine
from tests.world.day import day
from tests.world.earlier_reader import newest_records
from tests.world.rollouts import configure_previous_version, replace, wait_for_level
from tests.world.specs import daemon, job
from tests.world.world import World
from tools.schemas import FORMAT_TYPES, ROLLOUT_FORMAT_TYPES, make_schemas, serialize_schemas

ROOT = Path(__file__).resolve().parent.parent
SAMPLES = ROOT / "tests" / "samples"
PUBLISHED = {
    "level-1.json": "1efb99e53feacbeb",
    "level-2.json": "81600fbfc40694d5",
    "level-3.json": "9c86c2ad510276ff",
    "rollout.json": "951481e11b3b2a17",
}
SCHEMA_BY_KEY_PREFIX = {"j/": "job", "d/": "done", "m/": "machine", "r/": "rental", "y/": "types", "t/types": "types"}
SCHEMA_BY_KEY_PREFIX |= {"layout": "layout", "t/compatibility": "fence"}


def load_schemas(name: str) -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads((ROOT / "schemas" / name).read_text())
    return loaded


def validate(level: int, schema_name: str, value: Any) -> None:
    jsonschema.Draft202012Validator(load_schemas(f"level-{level}.json")[schema_name]).validate(value)


def stored_values(store: dict[str, Any]) -> Iterator[tuple[str, str, Any]]:
    """Yield the schema name, key and value of everything in the state service."""
    for key, value in store.items():
        if key == "leader":
            yield "leader", key, value
        elif key.startswith("s/"):
            yield "slot", key, value
    for key, value in newest_records(store).items():
        yield (
            next(schema_name for prefix, schema_name in SCHEMA_BY_KEY_PREFIX.items() if key.startswith(prefix)),
            key,
            value,
        )


def load_samples(level: int) -> list[dict[str, Any]]:
    """Return the samples of a level, each with its schema name and value."""
    found: list[dict[str, Any]] = json.loads((SAMPLES / f"level-{level}.json").read_text())
    return found


def production_samples() -> Iterator[tuple[str, Any]]:
    production = json.loads((SAMPLES / "production.json").read_text())
    for schema_name, _, value in stored_values({key: value for key, value, _ in production["store"]}):
        yield schema_name, value
    for text in production["frames"]:
        frame = json.loads(text)
        yield f"message {frame['kind']}", frame


def decode_sample(schema_name: str, value: Any) -> None:
    """Decode a sample as this version does."""
    if schema_name.startswith("message "):
        peers.decode(msgspec.json.encode(value))
    elif schema_name == "done":
        list(done_tasks(read_done(value, SUPPORTED), MAX_TASKS_PER_CHUNK))
    elif schema_name == "machine":
        read_machine(value, SUPPORTED)
    elif schema_name == "fence":
        read_level(FENCE_KEY, value, FenceRecord)
    elif schema_name == "link view":
        read_view(msgspec.Raw(msgspec.json.encode(value)), "loom-0", "loom-1", value["echoes"].get("loom-1", 0))
    else:
        msgspec.convert(value, FORMAT_TYPES[schema_name])


def test_the_newest_schema_files_match_the_code() -> None:
    """Guard against a changed format without a new level, a gate and a schema file of its own."""
    assert (ROOT / "schemas" / f"level-{SUPPORTED.highest}.json").read_text() == serialize_schemas(
        make_schemas(FORMAT_TYPES)
    )
    assert (ROOT / "schemas" / "rollout.json").read_text() == serialize_schemas(make_schemas(ROLLOUT_FORMAT_TYPES))


def test_published_schema_files_have_not_changed_and_each_level_has_one() -> None:
    found = {
        path.name: hashlib.sha256(path.read_bytes()).hexdigest()[:16] for path in (ROOT / "schemas").glob("*.json")
    }
    assert found == PUBLISHED
    assert {f"level-{level}.json" for level in range(FIRST_LEVEL, SUPPORTED.highest + 1)} < set(PUBLISHED)


def test_samples_match_the_schemas_of_their_level_and_can_be_read() -> None:
    validated: set[tuple[int, str]] = set()
    for schema_name, value in production_samples():
        validate(1, schema_name, value)
        decode_sample(schema_name, value)
        validated.add((1, schema_name))
    for level in (2, 3):
        for sample in load_samples(level):
            validate(level, sample["form"], sample["value"])
            decode_sample(sample["form"], sample["value"])
            validated.add((level, sample["form"]))
    # Level 3 changes only the leader announcement and the link view in it.
    assert {schema_name for level, schema_name in validated if level == 3} == {"message lead", "link view"}
    earlier_names = set(FORMAT_TYPES) - {"rental", "link view"}
    assert {schema_name for level, schema_name in validated if level == 2} == earlier_names
    assert {schema_name for level, schema_name in validated if level == 1} >= earlier_names - {"fence", "layout"}


@pytest.mark.parametrize(
    ("level", "schema_name", "value"),
    [
        (1, "done", {"bits": "AAAA"}),
        (2, "done", {"bits": "AAAA", "marks": "00"}),
        (2, "done", {"bits": 5}),
        (1, "job", {"state": "open", "tasks": 3, "colour": "red"}),
        (1, "message lead", {"kind": "lead", "leader": None, "token": 3, "level": 2}),
        (2, "message lead", {"kind": "lead", "leader": None, "token": 3, "links": {"number": 4}}),
        (3, "link view", {"number": 4, "echoes": {}, "store": {"state": "broken"}, "peers": {}}),
        (3, "link view", {"number": -4, "echoes": {}, "store": {"state": "cut"}, "peers": {}}),
        (2, "machine", {"build": "small", "zone": "east"}),
        (1, "machine", {"type": "small", "zone": "east", "spot": False, "base": 7, "runs": {"run-000001": [0, 0, 4]}}),
    ],
)
def test_a_value_of_another_level_is_rejected(level: int, schema_name: str, value: Any) -> None:
    with pytest.raises(jsonschema.ValidationError):
        validate(level, schema_name, value)


def validate_stored_and_sent(world: World) -> Iterator[tuple[int, str]]:
    """Validate everything in the store and each announcement; yield their levels and schema names."""
    level = world.store.values().get("rollout/level", {"level": 1})["level"]
    for schema_name, _, value in stored_values(world.store.values()):
        validate(level, schema_name, value)
        yield level, schema_name
    for one in world.controllers.values():
        frame = json.loads(peers.encode(one.make_announcement()))
        # A controller may not know yet that the level was raised; the schema of the new level allows that, too.
        validate(level, "message lead", frame)
        if "links" in frame:
            validate(level, "link view", frame["links"])
            yield level, "link view"


def validate_rollout_records(world: World) -> None:
    for key, value in world.store.values().items():
        if key.startswith("rollout/"):
            name = "level" if key == "rollout/level" else "announcement"
            jsonschema.Draft202012Validator(load_schemas("rollout.json")[name]).validate(value)
            msgspec.convert(value, LevelRecord if name == "level" else AnnouncementRecord)


def test_everything_written_while_a_level_is_active_matches_its_schema() -> None:
    """Validate the store and the announcements throughout an upgrade."""
    validated: set[tuple[int, str]] = set()

    async def script(world: World) -> None:
        async def validate_for(seconds: float) -> None:
            for _ in range(int(seconds / 0.25)):
                validated.update(validate_stored_and_sent(world))
                await asyncio.sleep(0.25)

        for number in range(3):
            assert await world.submit(job(number, pieces=30, cpus=0.2, ram_gb=0.1, true_s=9.0, expected_s=9.0))
        await validate_for(12)
        for node in world.nodes:
            replace(world, node, SUPPORTED, 0.5)
            await validate_for(4)
        await wait_for_level(world, SUPPORTED.highest)
        assert await world.submit(job(10, pieces=300, cpus=0.1, ram_gb=0.1, true_s=9.0, expected_s=9.0))
        assert await world.submit(daemon(11))
        await validate_for(20)
        validate_rollout_records(world)

    day(script, before=configure_previous_version, machines=6)
    newest_level = SUPPORTED.highest
    assert {(1, "done"), (1, "job")} <= validated
    assert {(newest_level, schema_name) for schema_name in ("done", "fence", "machine", "link view")} <= validated
