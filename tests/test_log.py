"""Log lines: JSON format, bounded memory, and no blocking."""

import json
import logging
import os

from pollenmount import log

PIPE_BYTES = 1 << 20


class PipeOutput:
    """A pipe that replaces standard output."""

    def __init__(self):
        self.reader, self.writer = os.pipe()

    def fileno(self):
        return self.writer

    def read(self):
        return os.read(self.reader, PIPE_BYTES).decode()


def test_lines_are_json_with_the_fixed_fields(monkeypatch):
    output = PipeOutput()
    monkeypatch.setattr(log.sys, "stdout", output)
    root = logging.getLogger("pollenmount")
    saved_config = root.handlers[:], root.level, root.propagate
    try:
        writer = log.configure("INFO", vm="a-1", region="a", failure_domain="a-a")
        logger = log.get_logger("calls")
        logger.info("call ended", extra={"request": "1", "class": 'x"\n'})
        logger.debug("not shown")
        assert writer.write_available()
    finally:
        root.handlers[:], root.level, root.propagate = saved_config
    lines = [json.loads(line) for line in output.read().splitlines()]
    assert len(lines) == 1
    assert (
        lines[0].items()
        >= {
            "vm": "a-1",
            "region": "a",
            "failure_domain": "a-a",
            "levelname": "INFO",
            "name": "pollenmount.calls",
            "message": "call ended",
            "request": "1",
            "class": 'x"\n',
        }.items()
    )


def test_stalled_reader_neither_blocks_nor_fills_memory():
    output = PipeOutput()
    writer = log.LineWriter(output.fileno(), max_lines=10)
    for number in range(30):
        writer.put(f"{number:030000}")
    assert not writer.write_available()
    assert len(writer.lines) == 10
    assert len(writer.unwritten) <= log.MAX_WRITE_BYTES + 30_001
    retained = len(output.read()) + len(writer.unwritten) + 10 * 30_001
    assert retained + writer.dropped * 30_001 == 30 * 30_001


def test_partial_write_is_resumed():
    output = PipeOutput()
    writer = log.LineWriter(output.fileno())
    lines = [f"{number:030000}" for number in range(10)]
    for line in lines:
        writer.put(line)
    received = ""
    while not writer.write_available():
        received += output.read()
    received += output.read()
    assert received.splitlines() == lines
