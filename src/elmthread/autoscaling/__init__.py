"""Scaling decisions: which machines to request, which to drain, and which to delete."""
