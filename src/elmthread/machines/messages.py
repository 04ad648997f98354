"""Request and response bodies of the cloud's API, with their wire names."""

from enum import StrEnum
from typing import Any

import msgspec

from elmthread.store.machine_type import MachineType


class InstanceState(StrEnum):
    """States of a listed machine that the leader acts on; the values are those on the wire."""

    STARTING = "starting"
    FAILED = "failed"


class MachineTypeList(msgspec.Struct, rename={"types": "builds"}):
    """All machine types that the cloud offers."""

    types: list[MachineType]


class ProvisionedMachines(msgspec.Struct, rename={"machines": "looms"}):
    """The names of the machines that were provisioned for an instance request."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "name": "name_id",
        "machine_type": "build",
        "zone": "yard",
        "spot": "loaners",
        "state": "status",
        "age_s": "held_s",
    },
):
    """One machine in the cloud's list; `state` may have values that InstanceState lacks."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0


class ListPage(msgspec.Struct, rename={"machines": "looms", "has_more": "has_next"}):
    """One page of the cloud's list, sorted by name."""

    machines: list[ListedMachine]
    has_more: bool = False


class ProvisioningBody(
    msgspec.Struct,
    rename={"name": "hire", "machine_type": "build", "zone": "yard", "spot": "loaners", "count": "how_many"},
):
    """An instance request, idempotent by its name: the cloud executes a repeated one only once."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class DeletionBody(msgspec.Struct, rename={"machines": "looms"}):
    """The names of machines to delete; unknown ones are ignored."""

    machines: list[str]


def encode_body(body: ProvisioningBody | DeletionBody) -> dict[str, Any]:
    """Return the body with its wire names."""
    fields: dict[str, Any] = msgspec.to_builtins(body)
    return fields
