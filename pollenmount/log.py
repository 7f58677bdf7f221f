"""Structured logs as JSON lines.

Prompts, answers and keys are never passed to a logger.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure", "get_logger"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
ROOT = "pollenmount"


def get_logger(name):
    """Return the logger of one module."""
    return logging.getLogger(f"{ROOT}.{name}")


def configure(level="INFO", **fixed):
    """Send logs to standard error, with the `fixed` fields on each line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, static_fields=fixed))
    root = logging.getLogger(ROOT)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False
