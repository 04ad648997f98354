"""Scheduling decisions: which waiting task goes to which machine, in what order, and what is preempted."""
