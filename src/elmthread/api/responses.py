"""Responses that several handlers of requests share."""

from datetime import timedelta

from elmthread.common.clock import seconds
from elmthread.net.http_messages import Response, retry_later

RETRY_AFTER = seconds(1)
RETRY_AFTER_OVERLOAD = seconds(2)


def rejection(status: int, reason: str) -> Response:
    """Return a response to a request that can never be executed."""
    return Response(status, {"error": reason})


def retry(reason: str, after: timedelta = RETRY_AFTER) -> Response:
    """Return a response to a request that may succeed later."""
    return retry_later(503, after, reason)


def unknown_job() -> Response:
    """Return the response about a job that nobody has submitted."""
    return rejection(404, "no such job")


def not_leading() -> Response:
    """Return the response of a node that does not lead, or whose leader lease may have expired."""
    return retry("not leading")


def not_durable_yet() -> Response:
    """Return the response about a change that the store has not confirmed yet."""
    return retry("not durable yet")


def overloaded(reason: str) -> Response:
    """Return the response to a request beyond what the node can handle."""
    return retry_later(429, RETRY_AFTER_OVERLOAD, reason)
