"""What a controller can confirm of its links, and what a leader that reaches only a part of the system does."""
