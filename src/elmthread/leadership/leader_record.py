"""The record under the leader key: which process leads, and under which lease."""

import msgspec

from elmthread.store import messages
from elmthread.store.client import UnknownOutcomeError


class LeaderRecord(msgspec.Struct, rename={"lease_id": "hold"}):
    """The value of the leader key."""

    node: str
    nonce: str
    lease_id: int


def read_leader_record(item: messages.KeyValue) -> LeaderRecord:
    """Return the record under the leader key. Raises UnknownOutcomeError if it is malformed."""
    try:
        return msgspec.convert(item.value, LeaderRecord)
    except msgspec.ValidationError as error:
        raise UnknownOutcomeError(f"malformed record under the leader key: {error}") from error
