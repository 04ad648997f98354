"""What a new leader would find in the simulated store."""

from typing import Any

from elmthread.store.pages import PAGE_PREFIX, RecordPages, page_capacity
from tests.world.services import StateStore


def stored_pages(store: StateStore) -> list[tuple[str, Any, int]]:
    """Key, value and revision of each page."""
    return [(key, value, revision) for key, (value, revision, _) in store.items.items() if key.startswith(PAGE_PREFIX)]


def stored_records(store: StateStore) -> dict[str, Any]:
    """The newest version of each packed record."""
    return RecordPages(page_capacity(8)).load(stored_pages(store))
