"""Workers: their heartbeats, reconciliation with the allocations, and the commands in the responses."""
