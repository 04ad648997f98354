"""Logging on standard error, in the amount that LOG_LEVEL sets."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up() -> None:
    """Logs to standard error, as much as `LOG_LEVEL` says."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s %(message)s")
    # Looking up thread and process names costs time on every line and tells nothing here.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
