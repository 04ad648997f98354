"""Writes the JSON schemas of all stored records and controller messages, one file per compatibility level.

    PYTHONPATH=src:. python -m tools.schemas

Writes `schemas/level-N.json` for the newest level and `schemas/rollout.json` for the records of the rollout
itself. A published file never changes: a change of a format needs a new level (docs/rollout.md).
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
# Keys of a schema that msgspec derives from the names and docstrings of classes.
CLASS_DERIVED_KEYS = frozenset({"$defs", "title", "description"})
DIALECT = "https://json-schema.org/draft/2020-12/schema"

# Name of each stored record or message -> the type that the code encodes and decodes it with.
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


def make_schemas(schema_types: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of each type, by name; fields that the type does not declare are not allowed."""
    return {name: _schema(schema_type) for name, schema_type in schema_types.items()}


def _schema(schema_type: Any) -> dict[str, Any]:
    members = getattr(schema_type, "__args__", ()) if isinstance(schema_type, UnionType) else (schema_type,)
    # msgspec can't generate a schema for a union of untagged structs.
    parts: list[Any] = [
        _without_class_names(generated, generated.get("$defs", {})) for generated in map(msgspec.json.schema, members)
    ]
    schema: dict[str, Any] = parts[0] if len(parts) == 1 else {"anyOf": parts}
    return {"$schema": DIALECT, **schema}


def _without_class_names(schema: Any, definitions: dict[str, Any]) -> Any:
    """Return the schema with inlined definitions, without additional properties, and independent of class names."""
    if isinstance(schema, list):
        return [_without_class_names(part, definitions) for part in schema]
    if not isinstance(schema, dict):
        return schema
    if "$ref" in schema:
        return _without_class_names(definitions[schema["$ref"].removeprefix("#/$defs/")], definitions)
    cleaned = {
        name: _without_class_names(part, definitions) for name, part in schema.items() if name not in CLASS_DERIVED_KEYS
    }
    if "properties" in schema and "title" in schema:
        cleaned["additionalProperties"] = False
    return cleaned


def serialize_schemas(schemas: dict[str, Any]) -> str:
    """Return the schemas as the text of a file."""
    return json.dumps(schemas, indent=1, sort_keys=True) + "\n"


def main() -> None:
    """Write the schema files of the newest level and of the rollout records."""
    (FOLDER / f"level-{SUPPORTED.highest}.json").write_text(serialize_schemas(make_schemas(FORMAT_TYPES)))
    (FOLDER / "rollout.json").write_text(serialize_schemas(make_schemas(ROLLOUT_FORMAT_TYPES)))


if __name__ == "__main__":
    main()
