"""A type of machine: the form in which the cloud lists it and the store keeps it."""

import msgspec


class MachineType(
    msgspec.Struct,
    rename={"gpus": "cards", "memory_gb": "ram_gb", "price": "rate", "boot_s": "ready_s", "zones": "yards"},
):
    """A type of machine, as the cloud describes it."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]
