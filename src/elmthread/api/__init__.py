"""The HTTP API: submission, status and cancellation of jobs, on the leader and on the other nodes."""
