"""Machines: inventory, provisioning, failure detection and deletion, through the cloud's API."""
