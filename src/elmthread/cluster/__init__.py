"""The leader's in-memory state: jobs, machines, and the allocations of tasks to machines."""
