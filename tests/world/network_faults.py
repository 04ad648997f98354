"""Faults of the network between nodes, and between nodes and workers; a test sets them as it goes."""

from elmthread.net.http_messages import Request
from tests.world.links import LinkFaults


class NetworkFaults:
    """What does not get through, or late, or twice; nothing at first."""

    def __init__(self) -> None:
        """Begin without faults."""
        # Faults of single links, by schedule.
        self.link_faults = LinkFaults()
        # Nodes that reach nothing and are reached by nothing, and links of a worker to a node.
        self.cut_nodes: set[str] = set()
        self.cut_worker_links: set[tuple[str, str]] = set()
        # Nodes that reach neither the store nor the others, but their workers.
        self.isolated_nodes: set[str] = set()
        # Workers whose heartbeats arrive, but which no response reaches; nodes whose responses reach no worker.
        self.workers_without_responses: set[str] = set()
        self.nodes_without_responses: set[str] = set()
        # Share of the heartbeats of which a copy comes later, to any node, and how much later.
        self.duplicate_share = 0.0
        self.duplicate_delay_s = (1.0, 40.0)
        # Heartbeats are collected here while it is a list.
        self.captured_requests: list[Request] | None = None
        # Share of heartbeats and responses that are delayed, by up to 6 s each.
        self.delayed_share = 0.0
