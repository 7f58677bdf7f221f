"""Structured logs as JSON lines on standard output; bounded, and never blocking.

Prompts, responses and keys are never passed to a logger. Lines that standard output
cannot accept yet wait in a bounded queue; lines beyond it are dropped and counted.
A line that cannot be formatted or written never raises in the code that logs it.
"""

import collections
import json
import logging
import os
import sys

# `os.write` of a patched standard library waits in the event loop before each write to
# a pipe, and raises if two tasks do so at the same time.
from posix import write

from pythonjsonlogger.json import JsonFormatter

__all__ = ["FieldLogger", "LineWriter", "configure", "get_logger"]

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
ROOT_LOGGER = "pollenmount"
MAX_WAITING_LINES = 10_000
MAX_WRITE_BYTES = 65_536


def get_logger(name):
    """Return the logger of one module."""
    return FieldLogger(logging.getLogger(f"{ROOT_LOGGER}.{name}"))


class FieldLogger(logging.LoggerAdapter):
    """Logger that keeps the fields of a line apart from the attributes of its record.

    The standard logger raises `KeyError` for a field that is named like an attribute.
    Here the record has all fields, whatever their names, in its attribute `fields`.
    """

    def process(self, msg, kwargs):
        """Return the message, and the arguments with the fields moved."""
        fields = kwargs.get("extra") or {}
        return msg, {**kwargs, "extra": {"fields": fields}}


class FieldFormatter(JsonFormatter):
    """Formats a record and its fields as one JSON object.

    A field whose key the record itself uses gets the prefix `field_`.
    """

    def add_fields(self, log_data, record, message_dict):
        """Add the record's own keys to `log_data`, then its fields."""
        fields = record.__dict__.pop("fields", {})
        super().add_fields(log_data, record, message_dict)
        for key, value in fields.items():
            log_data[f"field_{key}" if key in log_data else key] = value


class LineWriter:
    """Writes lines to a file descriptor, which it sets to non-blocking mode.

    Lines that the descriptor cannot accept at once are written by later calls of
    `write_available`. `dropped` counts the lines discarded because the queue was full.
    """

    def __init__(self, descriptor, max_lines=MAX_WAITING_LINES):
        self.descriptor = descriptor
        self.max_lines = max_lines
        self.lines = collections.deque()
        self.unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def put(self, line):
        """Queue a line, or drop it if the queue is full."""
        if len(self.lines) >= self.max_lines:
            self.dropped += 1
            return
        self.lines.append(line)
        self.write_available()

    def write_available(self):
        """Write what the descriptor accepts now; return whether all was written."""
        while self.unwritten or self.lines:
            parts = [self.unwritten]
            size = len(self.unwritten)
            while self.lines and size < MAX_WRITE_BYTES:
                part = self.lines.popleft().encode() + b"\n"
                size += len(part)
                parts.append(part)
            self.unwritten = b"".join(parts)
            try:
                written = write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return False
            except OSError:
                self.drop_unwritten()
                return False
            self.unwritten = self.unwritten[written:]
        return True

    def drop_unwritten(self):
        """Drop all lines that wait, because the descriptor has failed."""
        self.dropped += len(self.lines) + self.unwritten.count(b"\n")
        self.unwritten = b""
        self.lines.clear()

    def close(self):
        """Write the remaining lines as far as the descriptor accepts them."""
        self.write_available()


class LineHandler(logging.Handler):
    """Formats records and passes them to a `LineWriter`."""

    def __init__(self, writer):
        super().__init__()
        self.writer = writer

    def emit(self, record):
        """Format and queue one record, or a line about the failure to format it."""
        try:
            line = self.format(record)
        except Exception as error:
            line = format_failure(record, error)
        try:
            self.writer.put(line)
        except Exception:
            self.writer.dropped += 1


def format_failure(record, error):
    """Return the line that replaces one whose fields cannot be formatted."""
    document = {
        "levelname": "ERROR",
        "name": record.name,
        "message": "log line failed",
        "line": str(record.msg),
        "problem": f"{type(error).__name__}: {error}",
    }
    return json.dumps(document)


def configure(level="INFO", **fixed_fields):
    """Send logs to standard output, with the `fixed_fields` on each line.

    Return the `LineWriter`, whose `write_available` has to be called periodically.
    """
    writer = LineWriter(sys.stdout.fileno())
    handler = LineHandler(writer)
    handler.setFormatter(FieldFormatter(LINE_FORMAT, static_fields=fixed_fields))
    root = logging.getLogger(ROOT_LOGGER)
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False
    return writer
