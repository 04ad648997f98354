"""Network faults between nodes, and between nodes and workers; tests set them as they run."""

from elmthread.net.http_messages import Request
from tests.world.links import LinkFaults


class NetworkFaults:
    """Messages that are lost, delayed or duplicated; none at first."""

    def __init__(self) -> None:
        """Begin without faults."""
        # Faults of single links, set while a fault schedule plays.
        self.link_faults = LinkFaults()
        # Nodes cut off from other nodes, workers and users, and cut links, as pairs of a worker and a node.
        # Neither these nor `isolated_nodes` affect the state service: its links have their own `ServiceFaults`.
        self.cut_nodes: set[str] = set()
        self.cut_worker_links: set[tuple[str, str]] = set()
        # Nodes cut off from other nodes only.
        self.isolated_nodes: set[str] = set()
        # Workers that receive no responses though their heartbeats arrive; nodes whose responses reach no worker.
        self.workers_without_responses: set[str] = set()
        self.nodes_without_responses: set[str] = set()
        # Share of heartbeats that are delivered again later, to any node, and the range of that delay.
        self.duplicate_share = 0.0
        self.duplicate_delay_s = (1.0, 40.0)
        # Collects copies of heartbeats while it is a list.
        self.captured_requests: list[Request] | None = None
        # Share of responses to heartbeats that reach the worker again after it has executed them, and the maximum of
        # that delay.
        self.repeated_response_share = 0.0
        self.max_repeat_delay_s = 6.0
        # Share of heartbeats and responses that are delayed, by up to 6 s each.
        self.delayed_share = 0.0
