"""Reads the rollout's records from the state service."""

import msgspec

from elmthread.ledger.client import StateClient
from elmthread.ledger.messages import Item
from elmthread.rollout import messages

PAGE = 200


class RolloutRecords(msgspec.Struct, frozen=True):
    """All records under the rollout's prefix, and a revision from which a watch sees what changes."""

    items: list[Item]
    revision: int


async def read_records(client: StateClient) -> RolloutRecords:
    """Reads page by page. Raises what the client raises."""
    items: list[Item] = []
    after = None
    first_revision: int | None = None
    while True:
        page = await client.page(messages.PREFIX, after, PAGE)
        first_revision = page.revision if first_revision is None else first_revision
        items += page.items
        if not page.more or not page.items:
            return RolloutRecords(items, first_revision)
        after = page.items[-1].key
