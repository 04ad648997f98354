"""Writes the JSON schemas of all stored forms and controller messages, one file a compatibility level.

    PYTHONPATH=src:. python -m tools.schemas

writes `schemas/level-N.json` for the newest level and `schemas/rollout.json` for the records of the rollout
itself. A published file never changes: a form that changes needs a new level (docs/rollout.md).
"""

import json
from pathlib import Path
from types import UnionType
from typing import Any

import msgspec

from elmthread.common.features import SUPPORTED
from elmthread.leadership.leader_record import LeaderRecord
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement
from elmthread.reachability.messages import LinkViewMessage
from elmthread.rollout.records import AnnouncementRecord, FenceRecord, LevelRecord
from elmthread.store.machine_records import AssignmentRunsRecord, MachineRecord
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import PageRecord
from elmthread.store.records import DoneBitmapRecord, DoneRecord, InstanceRequestRecord, JobRecord

FOLDER = Path(__file__).resolve().parent.parent / "schemas"
# What msgspec takes from the classes.
CLASS_NAMES = frozenset({"$defs", "title", "description"})
DIALECT = "https://json-schema.org/draft/2020-12/schema"

# By the name of a form, the type that the code writes and reads it with.
FORMAT_TYPES: dict[str, Any] = {
    "leader": LeaderRecord,
    "slot": PageRecord,
    "job": JobRecord,
    "done": DoneRecord | DoneBitmapRecord,
    "machine": MachineRecord | AssignmentRunsRecord,
    "rental": InstanceRequestRecord,
    "types": list[MachineType],
    "layout": int,
    "fence": FenceRecord,
    "message lead": LeaderAnnouncement,
    "message ask": ForwardedRequest,
    "message reply": ForwardedResponse,
    "link view": LinkViewMessage,
}
ROLLOUT_FORMAT_TYPES: dict[str, Any] = {"announcement": AnnouncementRecord, "level": LevelRecord}


def make_schemas(forms: dict[str, Any]) -> dict[str, Any]:
    """Return one schema for each form; a field that a form does not name is no part of it."""
    return {name: _schema(kind) for name, kind in forms.items()}


def _schema(kind: Any) -> dict[str, Any]:
    members = getattr(kind, "__args__", ()) if isinstance(kind, UnionType) else (kind,)
    # msgspec has no schema of a union of structs without a tag.
    parts: list[Any] = [_plain(made, made.get("$defs", {})) for made in map(msgspec.json.schema, members)]
    schema: dict[str, Any] = parts[0] if len(parts) == 1 else {"anyOf": parts}
    return {"$schema": DIALECT, **schema}


def _plain(schema: Any, definitions: dict[str, Any]) -> Any:
    """Return the schema without names of classes, so that renaming one changes nothing, and with closed objects."""
    if isinstance(schema, list):
        return [_plain(part, definitions) for part in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        return _plain(definitions[schema["$ref"].removeprefix("#/$defs/")], definitions)
    plain = {name: _plain(part, definitions) for name, part in schema.items() if name not in CLASS_NAMES}
    if "properties" in schema and "title" in schema:
        plain["additionalProperties"] = False
    return plain


def serialize_schemas(schemas: dict[str, Any]) -> str:
    """Return the file's text."""
    return json.dumps(schemas, indent=1, sort_keys=True) + "\n"


def main() -> None:
    """Write the files of the newest level and of the rollout's records."""
    (FOLDER / f"level-{SUPPORTED.highest}.json").write_text(serialize_schemas(make_schemas(FORMAT_TYPES)))
    (FOLDER / "rollout.json").write_text(serialize_schemas(make_schemas(ROLLOUT_FORMAT_TYPES)))


if __name__ == "__main__":
    main()
