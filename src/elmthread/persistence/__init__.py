"""Durable state: writes the cluster state as records, and rebuilds it from them in a new leader."""
