"""Reads what a new leader would load from the simulated store."""

from typing import Any

from elmthread.store.pages import PAGE_PREFIX, RecordPages, page_capacity
from tests.world.simulated_store import SimulatedStore


def stored_pages(store: SimulatedStore) -> list[tuple[str, Any, int]]:
    """Return the key, value and revision of each page."""
    return [(key, value, revision) for key, (value, revision, _) in store.items.items() if key.startswith(PAGE_PREFIX)]


def stored_records(store: SimulatedStore) -> dict[str, Any]:
    """Return the newest version of each packed record."""
    return RecordPages(page_capacity(8)).load(stored_pages(store))
