"""A faulty target writes an earlier response once more on a kept connection.

A copy must not be taken for the answer to another request, nor to the same one that is
sent again: it would tell a caller that a request has not run which the target runs.
"""

import eventlet
import pytest

from tests.gateway_sockets import (
    ScriptedTarget,
    SocketEntry,
    request_bytes,
    use_green_sockets,
)

NOT_RUN = "X-Pollenmount-Not-Run: 1"
BUSY = 503
BAD_GATEWAY = 502
OK = 200
# Statuses by which a caller is told that its request has not run.
PROMISES = (408, 421, 429, 503)
PATHS = ("/once/1", "/stream/1", "/again/1", "/resumed/1")


class FaultyTarget(ScriptedTarget):
    """A target that writes refusals by script, and runs all other requests.

    `script` has for each request in order how it begins: `refuse` or `refuse without
    id`; `copy` repeats the connection's last refusal and runs the request; `stray` does
    so with a refusal without id, on a connection that was used before. `ran` has the
    ids that it ran, and `connections` those that were used.
    """

    def __init__(self, address, *script):
        super().__init__(address, self.respond)
        self.script = [*script]
        self.refusals = {}
        self.ran = []
        self.connections = []

    def respond(self, exchange):
        """Respond to one request."""
        exchange.read_body()
        connection = exchange.connection
        was_used = connection in self.connections
        if not was_used:
            self.connections.append(connection)
        step = self.script.pop(0) if self.script else ""
        if step.startswith("refuse"):
            self.refusals[connection] = refusal(exchange, "without" not in step)
            connection.sendall(self.refusals[connection])
            return
        if step == "copy":
            connection.sendall(self.refusals.get(connection, b""))
        elif step == "stray" and was_used:
            connection.sendall(refusal(exchange, has_id=False))
        self.ran.append(exchange.headers["x-pollenmount-attempt-id"])
        exchange.send_response(b"id: 1\ndata: x\n\n")


def refusal(exchange, has_id):
    """Return the refusal of a request as bytes."""
    lines = [f"HTTP/1.1 {BUSY} X", NOT_RUN, "Keep-Alive: timeout=5"]
    if has_id:
        id_ = exchange.headers["x-pollenmount-attempt-id"]
        lines.append(f"X-Pollenmount-Attempt-Id: {id_}")
    return "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()


@pytest.fixture
def entry(network, monkeypatch):
    use_green_sockets(monkeypatch)
    entry = SocketEntry(f"127.{network}.7.1:7300")
    yield entry
    entry.close()


@pytest.fixture
def serve(entry, network):
    """Return a function that adds a target with a script."""
    targets = []

    def add(*script):
        target = FaultyTarget(f"127.{network}.7.{9 + len(targets)}:7400", *script)
        targets.append(target)
        entry.add_target(f"t{len(targets)}", address=target.address)
        return target

    yield add
    for target in targets:
        target.close()


def ask(entry, id_, path):
    """Return the status of a caller's request."""
    with eventlet.Timeout(10), entry.connect() as connection:
        connection.sendall(request_bytes(id_, path))
        return int(connection.recv(4096).split()[1])


def check_truthful(target, id_, status):
    """Check that a request that ran was not refused with a promise."""
    assert not (id_ in target.ran and status in PROMISES)


# Guards against 'not run, try again' for a request that a target runs (REFUSED).
@pytest.mark.parametrize("path", PATHS)
def test_a_refusal_without_id_is_not_taken_for_the_next_request(entry, serve, path):
    target = serve("refuse without id", "copy")
    assert ask(entry, "id-1", path) == BUSY
    status = ask(entry, "id-2", path)
    check_truthful(target, "id-2", status)
    assert status == OK


@pytest.mark.parametrize("path", PATHS)
def test_a_refusal_is_not_taken_for_the_same_request_sent_again(entry, serve, path):
    target = serve("refuse", "copy")
    assert ask(entry, "id-1", path) == BUSY
    status = ask(entry, "id-1", path)
    check_truthful(target, "id-1", status)
    assert status == OK


@pytest.mark.parametrize("path", PATHS)
def test_a_refusal_is_not_taken_again_after_other_requests(entry, serve, path):
    target = serve("refuse", "", "", "copy")
    for id_, expected in (("id-1", BUSY), ("id-2", OK), ("id-3", OK)):
        assert ask(entry, id_, path) == expected
    status = ask(entry, "id-1", path)
    check_truthful(target, "id-1", status)
    assert status == OK


# A target that has read the request knows its id; what has none may be older.
@pytest.mark.parametrize("path", ["/once/1", "/stream/1"])
def test_a_refusal_without_id_proves_nothing_on_a_used_connection(entry, serve, path):
    target = serve("", "stray")
    assert ask(entry, "id-1", path) == OK
    status = ask(entry, "id-2", path)
    check_truthful(target, "id-2", status)
    assert status == BAD_GATEWAY


# Guards against a request that runs at a second target while the first runs it (TWICE).
def test_a_request_with_such_a_refusal_is_not_sent_to_a_second_target(entry, serve):
    targets = [serve(*["stray"] * 8), serve(*["stray"] * 8)]
    ids = [f"id-{number}" for number in range(8)]
    for id_ in ids:
        ask(entry, id_, "/once/1")
    ran = [id_ for target in targets for id_ in target.ran]
    assert sorted(ran) == ids


def test_a_refusal_without_id_on_a_new_connection_is_believed(entry, serve):
    target = serve("refuse without id")
    assert ask(entry, "id-1", "/once/1") == BUSY
    assert not target.ran


# New connections are dear to targets: refusals with an id cost hardly any.
def test_refusals_with_an_id_keep_their_connection(entry, serve):
    target = serve(*["refuse"] * 30)
    for number in range(30):
        assert ask(entry, f"id-{number}", "/once/1") == BUSY
        entry.clock.advance(50)
    assert len(target.connections) == 1


def test_the_ids_that_a_connection_remembers_are_bounded(entry, serve):
    target = serve(*["refuse"] * 100)
    for number in range(100):
        assert ask(entry, f"id-{number}", "/once/1") == BUSY
        entry.clock.advance(50)
    assert 1 < len(target.connections) <= 4


def test_the_copy_of_a_success_is_not_taken_for_the_request_sent_again(entry, serve):
    target = serve()
    assert ask(entry, "id-1", "/stream/1") == OK
    assert ask(entry, "id-1", "/stream/1") == OK
    assert len(target.connections) == 2
