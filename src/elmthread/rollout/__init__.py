"""Staged rollout: behaviour that an earlier version can't read stays off until every controller has it."""
