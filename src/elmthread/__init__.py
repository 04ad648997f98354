"""elmthread: a cluster scheduler run by several controllers, of which one leads under a lease."""

__version__ = "0.1.0"
