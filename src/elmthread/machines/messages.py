"""The cloud's words on the wire."""

from typing import Any

import msgspec

from elmthread.store.machine_type import MachineType


class Types(msgspec.Struct, rename={"types": "builds"}):
    types: list[MachineType]


class Rented(msgspec.Struct, rename={"machines": "looms"}):
    machines: list[str]


class Listed(
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
    name: str
    machine_type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0


class Page(msgspec.Struct, rename={"machines": "looms", "more": "has_next"}):
    machines: list[Listed]
    more: bool = False


def rental(name: str, machine_type: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"hire": name, "build": machine_type, "yard": zone, "loaners": spot, "how_many": count}


def deletion(names: list[str]) -> dict[str, Any]:
    return {"looms": names}
