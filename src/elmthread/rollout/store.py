"""Reads the rollout's records from the state service."""

import msgspec

from elmthread.rollout import messages
from elmthread.store.client import KeyValueStore, read_prefix
from elmthread.store.messages import KeyValue

PAGE = 200


class RolloutRecords(msgspec.Struct, frozen=True):
    """All records under the rollout's prefix, and a revision from which a watch sees what changes."""

    items: list[KeyValue]
    revision: int


async def read_records(client: KeyValueStore) -> RolloutRecords:
    """Reads page by page. Raises what the client raises."""
    found = await read_prefix(client.read_page, messages.PREFIX, PAGE)
    return RolloutRecords(found.items, found.revision)
