"""The dependencies that all services of one term share."""

import msgspec

from elmthread.cluster.events import ClusterEvents
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import Clock
from elmthread.common.features import ActiveFeatures
from elmthread.leadership.term import Term
from elmthread.store.client import KeyValueStore
from elmthread.store.writer import RecordWriter


class TermContext(msgspec.Struct, frozen=True):
    """The term, the cluster state that the leader keeps in memory for it, and access to the key-value store."""

    term: Term
    store: KeyValueStore
    writer: RecordWriter
    cluster: ClusterState
    events: ClusterEvents
    features: ActiveFeatures
    clock: Clock
