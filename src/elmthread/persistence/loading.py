"""Loads a new leader's state from the store: reads the newest version of each record and has the state restored."""

import asyncio
import logging
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.job import Job
from elmthread.common.clock import seconds
from elmthread.common.features import SupportedLevels
from elmthread.leadership.context import TermContext
from elmthread.persistence.completions import CompletionRecorder
from elmthread.persistence.layout_migration import LayoutMigration
from elmthread.persistence.restoring import JobCreator, StateRestorer
from elmthread.store import messages, records
from elmthread.store.client import StoreUnavailableError, UnknownOutcomeError, read_prefix
from elmthread.store.pages import PAGE_PREFIX

log = logging.getLogger(__name__)

RETRY_PAUSE = seconds(0.2)
# Keys in one read of the store.
READ_PAGE_SIZE = 400


class CompatibilityLevel(Protocol):
    """The compatibility level of the stored records, which must be read before any other record."""

    @property
    def supported(self) -> SupportedLevels:
        """The levels whose formats this process reads."""

    @property
    def enabled(self) -> bool:
        """Whether the records under `rollout/`, which hold the active level, are read; the fence (`load`) always is."""

    def load(self, items: Iterable[messages.KeyValue], packed_records: Mapping[str, Any], /) -> None:
        """Read the active level from `items` and the compatibility fence from `packed_records`.

        Versions that know no levels can't read the fence, so they do not lead with formats that they would misread.
        Raises an error for a level that this process does not support.
        """


class StateLoader:
    """Loads the state of one term, once."""

    def __init__(
        self,
        context: TermContext,
        factory: JobCreator,
        catalog: MachineTypeCatalog,
        completions: CompletionRecorder,
        level: CompatibilityLevel,
    ) -> None:
        """Load into the cluster of `context` and into `catalog`; `completions` ends jobs whose tasks are all done."""
        self._store = context.store
        self._writer = context.writer
        self._pages = context.writer.pages
        self._cluster = context.cluster
        self._catalog = catalog
        self._completions = completions
        self._level = level
        self._restorer = StateRestorer(context, factory, level.supported)

    async def load(self) -> None:
        """Rebuild the state. Raises UnreadableRecordError, which names the key."""
        newest_records = await self._read_newest_records()
        await self._restorer.restore(newest_records)
        if self._restorer.machine_types:
            self._catalog.replace(self._restorer.machine_types.values())
        for job in list(self._cluster.open_jobs.values()):
            job.rebuild_pending_tasks()
            if job.done_count == job.task_count:
                self._completions.record(job, 0, lambda: None)
            elif job.spec.one_zone and len(job.tasks_by_zone) > 1:
                _log_ambiguous_zone(job)
        log.info(
            "loaded %s jobs, %s of them open, and %s machines",
            len(self._cluster.jobs),
            len(self._cluster.open_jobs),
            len(self._cluster.machines),
        )

    async def _read_newest_records(self) -> dict[str, Any]:
        """Return the newest version of each record, by key."""
        rollout_records = await self._read_all(records.ROLLOUT_PREFIX) if self._level.enabled else []
        pages = await self._read_all(PAGE_PREFIX)
        newest_records = self._pages.load((item.key, item.value, item.mod_revision) for item in pages)
        # No other record may be interpreted if this process does not support the level.
        self._level.load(rollout_records, newest_records)
        newest_records.pop(records.COMPATIBILITY_FENCE_KEY, None)
        if records.LAYOUT_KEY not in newest_records:
            await self._migrate_earlier_layout(newest_records)
        return newest_records

    async def _migrate_earlier_layout(self, newest_records: dict[str, Any]) -> None:
        """Move records that an earlier version wrote under their own keys into pages."""
        migration = LayoutMigration(self._writer)
        found = [
            item
            for prefix in (
                records.JOB_PREFIX,
                records.DONE_TASKS_PREFIX,
                records.MACHINE_PREFIX,
                records.MACHINE_TYPE_PREFIX,
            )
            for item in await self._read_all(prefix)
            if item.key not in newest_records
        ]
        newest_records.update((item.key, item.value) for item in found)
        migration.start(found)

    async def _read_all(self, prefix: str) -> list[messages.KeyValue]:
        return (await read_prefix(self._read_page, prefix, READ_PAGE_SIZE)).items

    async def _read_page(self, prefix: str, after: str | None, page_size: int) -> messages.RangePage:
        """Return one page of the keys under the prefix, retrying until the key-value store responds."""
        while True:
            try:
                return await self._store.read_page(prefix, after, page_size)
            except (StoreUnavailableError, UnknownOutcomeError) as error:
                log.info("reading the records under %s failed, trying again: %s", prefix, error)
                await asyncio.sleep(RETRY_PAUSE.total_seconds())


def _log_ambiguous_zone(job: Job) -> None:
    zones = ", ".join(f"{zone} ({count} tasks)" for zone, count in sorted(job.tasks_by_zone.items()))
    log.info("job %s is limited to one zone, but its stored assignments are in several: %s", job.id, zones)
