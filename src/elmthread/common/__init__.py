"""Shared by all packages: clocks, errors, gated features, logging, overload control, state machines."""
