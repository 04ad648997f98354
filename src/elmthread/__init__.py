"""elmthread: a cluster scheduler whose controllers share one leased leader."""

__version__ = "0.1.0"
