"""Updates the machine types from the cloud, and stores them for the next leader."""

import logging
from functools import partial

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.leadership.context import TermContext
from elmthread.machines.client import CloudClient, CloudError, NoCapacityError
from elmthread.store.records import machine_type_records
from elmthread.store.write_queue import WritePriority

log = logging.getLogger(__name__)


class MachineTypeUpdater:
    """Keeps the catalog up to date with the cloud."""

    def __init__(self, context: TermContext, cloud: CloudClient, catalog: MachineTypeCatalog) -> None:
        """Create an updater of `catalog`, which may already hold the types loaded from the store."""
        self._writer = context.writer
        self._cloud = cloud
        self._catalog = catalog

    async def update(self) -> None:
        """Read the types from the cloud into the catalog; if it was empty, also write them to the key-value store."""
        try:
            types = await self._cloud.machine_types()
        except (CloudError, NoCapacityError) as error:
            log.info("reading the machine types failed: %s", error)
            return
        is_first = not self._catalog.is_known
        self._catalog.replace(types)
        if is_first:
            for key, records in machine_type_records(types, self._writer.max_record_bytes).items():
                self._writer.write(key, WritePriority.ASSIGNMENT, partial(list, records))
