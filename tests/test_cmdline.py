"""The command line: exit statuses, output, and errors that name a remedy."""

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from pollenmount.cmdline import main

COMMANDS = ("config", "entries", "explain", "node", "plan", "status")
KEY = "POLLENMOUNT_OPERATOR_KEY"


def run(*args):
    return main(["pollenmount", *args])


def test_help_names_every_command(capsys):
    assert run("help") == 0
    output = capsys.readouterr().out
    assert all(f"  {name} " in output for name in COMMANDS)
    assert run() == 2


@pytest.mark.parametrize(
    ("args", "remedy"),
    [
        (["other"], "use one of: "),
        (["status", "--colour=red"], "see: pollenmount help"),
        (["status", "now"], "leave them out"),
        (["config", "look"], "use: pollenmount config check FILE"),
        (["node"], "see: pollenmount help"),
    ],
)
def test_usage_errors_name_a_remedy(args, remedy, capsys):
    assert run(*args) == 2
    assert remedy in capsys.readouterr().err


@pytest.mark.parametrize("command", ["status", "entries"])
def test_missing_key_and_unreachable_node_are_errors(
    command, capsys, monkeypatch, network
):
    monkeypatch.delenv(KEY, raising=False)
    assert run(command) == 1
    assert KEY in capsys.readouterr().err
    monkeypatch.setenv(KEY, "k")
    assert run(command, f"--node=127.{network}.9.4:7300") == 1
    assert "name another VM with --node" in capsys.readouterr().err


class Handler(BaseHTTPRequestHandler):
    """Answers with the status and body in the server's `reply`."""

    def do_GET(self):
        status, data = self.server.reply
        self.send_response(status)
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        """Log nothing."""


@pytest.fixture
def node(network, monkeypatch):
    monkeypatch.setenv(KEY, "k")
    with HTTPServer((f"127.{network}.9.4", 7301), Handler) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield server
        server.shutdown()
        thread.join()


ENTRIES = (
    b'{"entries": [{"name": "a-1", "region": "a", "failure_domain": "a-a",'
    b' "address": "10.0.0.1:80", "weight": 100}], "ttl_ms": 5000}'
)
STATUS = (
    b'{"members": [{"name": "a-1", "region": "a", "failure_domain": "a-a",'
    b' "plan_number": 7, "stopping": true}],'
    b' "targets": [{"name": "e", "kind": "engine", "running": 1, "in_flight": 2}]}'
)


@pytest.mark.parametrize(
    ("command", "reply", "expected"),
    [
        ("entries", (200, ENTRIES), (0, "a-1  a       10.0.0.1:80  100")),
        ("status", (200, STATUS), (0, "a-1  a       a-a             7     stopping")),
        ("status", (401, b'{"error": {"code": "unauthenticated"}}'), (1, "")),
        ("status", (200, b"no JSON"), (1, "")),
    ],
)
def test_replies_of_a_node_are_printed(node, capsys, command, reply, expected):
    node.reply = reply
    status = run(command, f"--node={node.server_address[0]}:7301")
    captured = capsys.readouterr()
    assert (status, bool(captured.err)) == (expected[0], expected[0] != 0)
    assert expected[1] in captured.out


def test_the_json_flag_prints_json(node, capsys):
    node.reply = (200, ENTRIES)
    assert run("entries", f"--node={node.server_address[0]}:7301", "--json") == 0
    assert '"ttl_ms": 5000' in capsys.readouterr().out
