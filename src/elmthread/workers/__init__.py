"""The workers: their heartbeats, what these say about tasks, and the commands in the responses."""
