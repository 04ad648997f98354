"""The HTTP API: submission, status and cancellation of jobs, on every node and at the leader."""
