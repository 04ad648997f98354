"""Staged rollout: formats and messages that earlier versions can't read stay off until all controllers support them."""
