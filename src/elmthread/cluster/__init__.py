"""What the leader owns in memory: jobs, machines, and which task may be on which machine."""
