"""What all parts share: HTTP, clocks, states, load, logs."""
