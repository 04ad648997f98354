"""Connections between controllers."""
