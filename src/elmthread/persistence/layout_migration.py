"""Migration from the earlier layout of the store, in which each record had its own key."""

from collections.abc import Sequence
from functools import partial
from typing import Any

from elmthread.store import messages, records
from elmthread.store.write_queue import WritePriority
from elmthread.store.writer import RecordWriter


class LayoutMigration:
    """Writes records of the earlier layout into pages, then the layout record, which marks the migration as done."""

    def __init__(self, writer: RecordWriter) -> None:
        """Write through `writer`, which must have loaded the pages."""
        self._writer = writer
        self._remaining = 0

    def start(self, items: Sequence[messages.KeyValue]) -> None:
        """Queue the writes; if there are none, write the layout record immediately."""
        self._remaining = len(items)
        for item in items:
            self._writer.write(item.key, WritePriority.MAINTENANCE, partial(_identity, item.value), self._finish_one)
        if not items:
            self._write_layout()

    def _finish_one(self) -> None:
        self._remaining -= 1
        if self._remaining <= 0:
            self._write_layout()

    def _write_layout(self) -> None:
        self._writer.write(records.LAYOUT_KEY, WritePriority.MAINTENANCE, lambda: records.PAGES_LAYOUT)


def _identity(value: Any) -> Any:
    return value
