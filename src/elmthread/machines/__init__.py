"""The machines: listed, requested, judged by their heartbeats and deleted, through the cloud's API."""
