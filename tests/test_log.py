"""Log lines: JSON format, bounded memory, and no blocking."""

import json
import logging
import os
import subprocess
import sys
from pathlib import Path

import pytest

from pollenmount import log

CALLERS = 8  # of tests/log_pipe.py, which patches the standard library on import

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


LOGGING_TASKS = """
from pollenmount import task
task.monkey_patch()
import sys, eventlet
from pollenmount import log
log.configure()
logger = log.get_logger("calls")
def work():
    for _ in range(20):
        logger.info("call ended")
        eventlet.sleep(0)
for thread in [eventlet.spawn(work) for _ in range(3)]:
    thread.wait()
"""


FULL_PIPE = """
from pollenmount import task
task.monkey_patch()
import sys
from pollenmount import log
log.configure()
logger = log.get_logger("calls")
for _ in range(3000):
    logger.info("call ended")
sys.stderr.write("logged")
sys.stderr.flush()
"""


def run_with_pipe(*arguments):
    """Run Python with a pipe as standard output; return the finished process."""
    return subprocess.run(
        [sys.executable, "-W", "ignore", *arguments],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        timeout=20,
        check=False,
    )


def test_tasks_that_log_at_the_same_moment_do_not_disturb_each_other():
    """On a pipe the second one got a `RuntimeError` from its logger."""
    process = run_with_pipe("-c", LOGGING_TASKS)
    assert process.stderr == b""
    lines = [json.loads(line) for line in process.stdout.splitlines()]
    assert len(lines) == 60


def test_streams_that_end_at_the_same_moment_are_whole(network):
    """All but one were closed without their end, as the log is on a pipe there."""
    process = run_with_pipe("-m", "tests.log_pipe", str(network))
    ended = [
        fields["outcome"]
        for fields in map(json.loads, process.stdout.splitlines())
        if fields["message"] == "call ended"
    ]
    assert ended == ["answered"] * CALLERS
    assert process.stderr.split() == [str(CALLERS).encode()]


def test_a_full_pipe_does_not_delay_the_task_that_logs():
    """The task waited until the reader of the pipe went on."""
    reader, writer = os.pipe()
    with os.fdopen(reader, "rb"), os.fdopen(writer, "wb") as output:
        process = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", FULL_PIPE],
            cwd=Path(__file__).parent.parent,
            stdout=output,
            stderr=subprocess.PIPE,
            timeout=20,
            check=False,
        )
    assert process.stderr == b"logged"


def test_a_failure_to_write_does_not_reach_the_code_that_logs(output, monkeypatch):
    def fail():
        raise RuntimeError("no event loop")

    monkeypatch.setattr(output.writer, "write_available", fail)
    output.logger.info("call ended")
    assert output.writer.dropped == 1
