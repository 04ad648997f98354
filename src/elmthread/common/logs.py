"""Logging to standard error, at the level set by the environment variable LOG_LEVEL."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure() -> None:
    """Set up logging to standard error, at the level set by the environment variable `LOG_LEVEL`."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s %(message)s")
    # Looking up the thread and the process costs time for each log line, and there is only one of each.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
