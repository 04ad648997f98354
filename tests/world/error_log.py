"""Captures the errors that the service logs."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def errors_logged() -> Iterator[list[str]]:
    """Collect each error that the service logs, including its traceback."""
    errors: list[str] = []
    handler = logging.Handler(logging.ERROR)
    handler.emit = lambda record: errors.append(logging.Formatter().format(record))  # type: ignore[method-assign]
    log = logging.getLogger("elmthread")
    log.addHandler(handler)
    try:
        yield errors
    finally:
        log.removeHandler(handler)
