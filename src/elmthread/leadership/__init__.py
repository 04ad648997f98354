"""The lease of leadership."""
