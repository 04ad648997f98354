"""Durable state: records made of the cluster state, and the state rebuilt from them by a new leader."""
