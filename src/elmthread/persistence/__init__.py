"""What the leader makes durable, and how a new leader rebuilds its state from that."""
