"""Every stored form and controller message against the schema of its level.

`schemas/level-N.json` says what may be written and sent while level N is active; `tools/schemas.py` writes the
newest one. A published file never changes, so a form that changes needs a new level.
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
from tests.world.earlier_reader import newest
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
KEYS = {"j/": "job", "d/": "done", "m/": "machine", "r/": "rental", "y/": "types", "t/types": "types"}
KEYS |= {"layout": "layout", "t/compatibility": "fence"}


def schemas(name: str) -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads((ROOT / "schemas" / name).read_text())
    return loaded


def check(level: int, form: str, value: Any) -> None:
    jsonschema.Draft202012Validator(schemas(f"level-{level}.json")[form]).validate(value)


def forms_in(store: dict[str, Any]) -> Iterator[tuple[str, str, Any]]:
    """Form, key and value of all that stands in the state service."""
    for key, value in store.items():
        if key == "leader":
            yield "leader", key, value
        elif key.startswith("s/"):
            yield "slot", key, value
    for key, value in newest(store).items():
        yield next(form for prefix, form in KEYS.items() if key.startswith(prefix)), key, value


def sample(level: int) -> list[dict[str, Any]]:
    """Form and value of each sample of a level."""
    found: list[dict[str, Any]] = json.loads((SAMPLES / f"level-{level}.json").read_text())
    return found


def samples_of_production() -> Iterator[tuple[str, Any]]:
    production = json.loads((SAMPLES / "production.json").read_text())
    for form, _, value in forms_in({key: value for key, value, _ in production["store"]}):
        yield form, value
    for text in production["frames"]:
        frame = json.loads(text)
        yield f"message {frame['kind']}", frame


def read(form: str, value: Any) -> None:
    """Read a sample as this version does."""
    if form.startswith("message "):
        peers.decode(msgspec.json.encode(value))
    elif form == "done":
        list(done_tasks(read_done(value, SUPPORTED), MAX_TASKS_PER_CHUNK))
    elif form == "machine":
        read_machine(value, SUPPORTED)
    elif form == "fence":
        read_level(FENCE_KEY, value, FenceRecord)
    elif form == "link view":
        read_view(msgspec.Raw(msgspec.json.encode(value)), "loom-0", "loom-1", value["echoes"].get("loom-1", 0))
    else:
        msgspec.convert(value, FORMAT_TYPES[form])


def test_the_newest_files_are_those_of_the_code() -> None:
    """Otherwise a form has changed: it needs a new level, a gate and a file of its own."""
    assert (ROOT / "schemas" / f"level-{SUPPORTED.highest}.json").read_text() == serialize_schemas(
        make_schemas(FORMAT_TYPES)
    )
    assert (ROOT / "schemas" / "rollout.json").read_text() == serialize_schemas(make_schemas(ROLLOUT_FORMAT_TYPES))


def test_published_files_have_not_changed_and_each_level_has_one() -> None:
    found = {
        path.name: hashlib.sha256(path.read_bytes()).hexdigest()[:16] for path in (ROOT / "schemas").glob("*.json")
    }
    assert found == PUBLISHED
    assert {f"level-{level}.json" for level in range(FIRST_LEVEL, SUPPORTED.highest + 1)} < set(PUBLISHED)


def test_samples_are_of_their_level_and_can_be_read() -> None:
    seen: set[tuple[int, str]] = set()
    for form, value in samples_of_production():
        check(1, form, value)
        read(form, value)
        seen.add((1, form))
    for level in (2, 3):
        for one in sample(level):
            check(level, one["form"], one["value"])
            read(one["form"], one["value"])
            seen.add((level, one["form"]))
    # What the next level changes: the announcement, and the view in it.
    assert {form for level, form in seen if level == 3} == {"message lead", "link view"}
    forms_before = set(FORMAT_TYPES) - {"rental", "link view"}
    assert {form for level, form in seen if level == 2} == forms_before
    assert {form for level, form in seen if level == 1} >= forms_before - {"fence", "layout"}


@pytest.mark.parametrize(
    ("level", "form", "value"),
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
def test_a_form_of_another_level_is_refused(level: int, form: str, value: Any) -> None:
    with pytest.raises(jsonschema.ValidationError):
        check(level, form, value)


def check_what_is_stored_and_sent(world: World) -> Iterator[tuple[int, str]]:
    """Level and form of all that stands in the store, and of each message that is sent."""
    level = world.store.values().get("rollout/level", {"level": 1})["level"]
    for form, _, value in forms_in(world.store.values()):
        check(level, form, value)
        yield level, form
    for one in world.controllers.values():
        frame = json.loads(peers.encode(one.make_announcement()))
        # The leader may know of a level that it has raised a moment ago.
        check(level, "message lead", frame)
        if "links" in frame:
            check(level, "link view", frame["links"])
            yield level, "link view"


def check_rollout_records(world: World) -> None:
    for key, value in world.store.values().items():
        if key.startswith("rollout/"):
            name = "level" if key == "rollout/level" else "announcement"
            jsonschema.Draft202012Validator(schemas("rollout.json")[name]).validate(value)
            msgspec.convert(value, LevelRecord if name == "level" else AnnouncementRecord)


def test_all_that_is_written_while_a_level_is_active_is_of_that_level() -> None:
    """Checked all the time through an upgrade: what stands in the store, and each message that is sent."""
    sent: set[tuple[int, str]] = set()

    async def script(world: World) -> None:
        async def check_for(seconds: float) -> None:
            for _ in range(int(seconds / 0.25)):
                sent.update(check_what_is_stored_and_sent(world))
                await asyncio.sleep(0.25)

        for number in range(3):
            assert await world.submit(job(number, pieces=30, cpus=0.2, ram_gb=0.1, true_s=9.0, expected_s=9.0))
        await check_for(12)
        for node in world.nodes:
            replace(world, node, SUPPORTED, 0.5)
            await check_for(4)
        await wait_for_level(world, SUPPORTED.highest)
        assert await world.submit(job(10, pieces=300, cpus=0.1, ram_gb=0.1, true_s=9.0, expected_s=9.0))
        assert await world.submit(daemon(11))
        await check_for(20)
        check_rollout_records(world)

    day(script, before=configure_previous_version, machines=6)
    newest_level = SUPPORTED.highest
    assert {(1, "done"), (1, "job")} <= sent
    assert {(newest_level, form) for form in ("done", "fence", "machine", "link view")} <= sent
