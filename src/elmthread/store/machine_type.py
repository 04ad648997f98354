"""A machine type, as the cloud lists it and the store keeps it."""

import msgspec


class MachineType(
    msgspec.Struct,
    rename={"gpus": "cards", "memory_gb": "ram_gb", "price": "rate", "boot_s": "ready_s", "zones": "yards"},
):
    """A machine type as the cloud describes it.

    Prices are per hour, `boot_s` is the time in seconds until a new machine sends heartbeats,
    `fetch_gb_per_s` is the rate at which it fetches images, and `cache_gb` is the disk space for cached images.
    """

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
