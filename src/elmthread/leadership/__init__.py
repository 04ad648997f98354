"""Leader election: the leader's lease, its terms, and when a node may be a candidate."""
