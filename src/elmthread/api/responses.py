"""Responses shared by several request handlers."""

from datetime import timedelta

from elmthread.common.clock import seconds
from elmthread.net.http_messages import Response, retry_later

RETRY_AFTER = seconds(1)
RETRY_AFTER_OVERLOAD = seconds(2)


def rejection(status: int, reason: str) -> Response:
    """Return the response to a request that can never succeed."""
    return Response(status, {"error": reason})


def retry(reason: str, after: timedelta = RETRY_AFTER) -> Response:
    """Return the response to a request that may succeed later."""
    return retry_later(503, after, reason)


def unknown_job() -> Response:
    """Return the response for a job id that has not been submitted."""
    return rejection(404, "no such job")


def not_leading() -> Response:
    """Return the response of a node that is not the leader, or whose leader lease may have expired."""
    return retry("not leading")


def not_durable_yet() -> Response:
    """Return the response for a change that the store has not confirmed yet."""
    return retry("not durable yet")


def overloaded(reason: str) -> Response:
    """Return the response to a request that an overloaded node rejects."""
    return retry_later(429, RETRY_AFTER_OVERLOAD, reason)
