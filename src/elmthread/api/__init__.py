"""The users' interface: submissions, status and cancellations, on every node and at the leader."""
