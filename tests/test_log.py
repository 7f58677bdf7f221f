"""Logs are JSON lines with the place of the node on each."""

import io
import json

from pollenmount import log


def test_lines_are_json_with_the_fixed_fields(monkeypatch):
    stream = io.StringIO()
    monkeypatch.setattr(log.sys, "stderr", stream)
    log.configure("INFO", vm="a-1", region="a", failure_domain="a-a")
    logger = log.get_logger("calls")
    logger.info("call ended", extra={"request": "1", "class": 'x"\n'})
    logger.debug("not shown")
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
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
