"""Which links a controller can confirm, and what a leader does that reaches only a part of the system."""
