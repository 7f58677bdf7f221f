"""Log lines: JSON format, bounded memory, and no blocking."""

import json
import logging
import os

import pytest

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


class Output:
    """The loggers, configured for a pipe that replaces standard output."""

    def __init__(self, pipe):
        self.pipe = pipe
        self.writer = log.configure("INFO", vm="a-1", region="a", failure_domain="a-a")
        self.logger = log.get_logger("calls")

    def lines(self):
        assert self.writer.write_available()
        return [json.loads(line) for line in self.pipe.read().splitlines()]


@pytest.fixture
def output(monkeypatch):
    """Yield an `Output`; restore the loggers afterwards."""
    pipe = PipeOutput()
    monkeypatch.setattr(log.sys, "stdout", pipe)
    root = logging.getLogger("pollenmount")
    saved_config = root.handlers[:], root.level, root.propagate
    yield Output(pipe)
    root.handlers[:], root.level, root.propagate = saved_config


def test_lines_are_json_with_the_fixed_fields(output):
    output.logger.info("call ended", extra={"request": "1", "class": 'x"\n'})
    output.logger.debug("not shown")
    lines = output.lines()
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


RECORD_NAMES = ("name", "msg", "args", "message", "asctime", "created", "levelname")


@pytest.mark.parametrize("field", [*RECORD_NAMES, "vm", "fields", "taskName"])
def test_a_field_may_be_named_like_an_attribute_of_the_record(output, field):
    """`MemberDown.name` once raised `KeyError` in the task that noticed the loss."""
    output.logger.info("fleet changed", extra={field: "value", "other": 1})
    line = output.lines()[0]
    assert line["message"] == "fleet changed"
    assert line["name"] == "pollenmount.calls"
    assert (line["vm"], line["other"]) == ("a-1", 1)
    assert line.get(field) == "value" or line[f"field_{field}"] == "value"


def test_a_line_that_cannot_be_formatted_does_not_end_the_work(output):
    output.logger.info("call ended", extra={"request": {("not", "a key"): 1}})
    output.logger.info("call ended", extra={"request": "2"})
    failed, logged = output.lines()
    assert failed["message"] == "log line failed"
    assert failed["line"] == "call ended"
    assert logged["request"] == "2"


def test_a_closed_output_does_not_end_the_work(output):
    os.close(output.pipe.reader)
    output.logger.info("call ended", extra={"request": "1"})
    output.logger.info("call ended", extra={"request": "2"})
    assert output.writer.dropped == 2


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
