"""Scheduling decisions: placement of waiting tasks on machines, placement order, and preemption."""
