"""Targets that repeat or break off answers: `python -m tests.faults.stutterer`.

How a request is answered is drawn from the ids of the target and of the request, so
both ends of a play can tell. What runs, and how its answer ends, is written to standard
output, one JSON list a line.
"""

import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import threading
import time
from typing import NamedTuple

from tests.faults.flood import chunk
from tests.faults.mortal import ID, LAST_EVENT, PATH, read_request, run_target
from tests.soak.replica import expected_body, expected_event

__all__ = ["EVENT_COUNT", "Manner", "Record", "draw_manner"]

EVENT_COUNT = 12
EVENT_INTERVAL_S = 0.02
PIECE_INTERVAL_S = 0.005
COPY_DELAYS_S = (0.02, 0.3, 2.0)
FRAMINGS = ("length", "chunked", "none")
COPIES = ("", "whole", "pieces", "head", "across", "bare")
REFUSED_SHARE = 0.2
ENDS = {"whole": 20, "fin": 10, "reset": 10}
CRASH_WEIGHT = 4
EVENT_STREAM = b"Content-Type: text/event-stream"
FRAMING = re.compile(rb"(Content-Length|Transfer-Encoding): *[^\r\n]*\r\n")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Manner(NamedTuple):
    """How a target answers one request.

    `framing` tells how the body ends: by a length, in chunks, or with the connection.
    A `copy` comes `delay_s` later: whole, in two pieces, split in its head, with its
    second half before the next answer, or bare of what tells where it ends.
    A stream has an `end` other than `whole` after the event `last`, `inside` the next
    one if that is true.
    """

    framing: str
    copy: str
    delay_s: float
    is_refusal: bool
    end: str
    last: int
    inside: bool


class Record(NamedTuple):
    """What a target wrote: `event` is `ran` or `refused`, or how a stream breaks off.

    That is the end, the framing, and `inside` or `edge`, with dashes between them.
    `number` is the first event that was asked for, or the last one that was sent.
    """

    event: str
    at: float
    target: str
    id: str
    number: int


def draw_manner(target, id_, kind, first=1):
    """Return the `Manner` in which a target answers a request from an event on."""
    draw = random.Random(f"{target} {id_} {first}")
    is_stream = kind != "copies"
    framing = draw.choice(FRAMINGS[1:] if is_stream else FRAMINGS)
    copy = "" if is_stream or framing == "none" else draw.choice(COPIES)
    ends = ENDS | ({"crash": CRASH_WEIGHT} if kind == "crashes" else {})
    return Manner(
        framing,
        copy,
        draw.choice(COPY_DELAYS_S),
        draw.random() < REFUSED_SHARE and not is_stream,
        draw.choices([*ends], [*ends.values()])[0],
        draw.randint(first, EVENT_COUNT - 1) if first < EVENT_COUNT else EVENT_COUNT,
        draw.random() < 0.5,
    )


def make_head(id_, status, mark, *lines):
    """Return the head of an answer to a request."""
    lines = (
        b"HTTP/1.1 " + status,
        b"X-Pollenmount-Attempt-Id: " + id_,
        mark,
        *lines,
    )
    return b"\r\n".join([*lines, b"", b""])


def encode(id_, manner):
    """Return a whole answer that is no stream, as bytes."""
    body = expected_body(id_.decode())
    status, mark = b"200 OK", b"X-Pollenmount-Response-Stamp: stamp"
    if manner.is_refusal:
        status, mark, body = b"503 Full", b"X-Pollenmount-Not-Run: 1", b"refused"
    if manner.framing == "none":
        return make_head(id_, status, mark, b"Connection: close") + body
    if manner.framing == "length":
        return make_head(id_, status, mark, b"Content-Length: %d" % len(body)) + body
    head = make_head(id_, status, mark, b"Transfer-Encoding: chunked")
    return head + chunk(body[:9]) + chunk(body[9:]) + chunk(b"")


class Exchange:
    """One connection; `owed` are the bytes of a copy that come before what is next."""

    def __init__(self, connection):
        self.connection = connection
        self.lock = threading.Lock()
        self.owed = b""

    def send(self, *pieces):
        """Send what is owed, and pieces, with nothing else between them."""
        with self.lock:
            owed, self.owed = self.owed, b""
            for piece in (owed + pieces[0], *pieces[1:]):
                self.connection.sendall(piece)
                time.sleep(PIECE_INTERVAL_S if len(pieces) > 1 else 0)

    def send_copy(self, answer, copy):
        """Send a copy of an answer."""
        cut = answer.index(b"\r\n") + 9 if copy == "head" else len(answer) // 2
        with contextlib.suppress(OSError):
            if copy == "across":
                self.send(answer[:cut])
                self.owed = answer[cut:]
            elif copy == "bare":
                self.send(FRAMING.sub(b"", answer))
            elif copy == "whole":
                self.send(answer)
            else:
                self.send(answer[:cut], answer[cut:])


class Target:
    """The one target of this process."""

    def __init__(self, flags):
        self.id = flags.id
        self.lock = threading.Lock()

    def record(self, event, id_, number):
        """Write what happened, as a `Record`."""
        line = Record(event, time.monotonic(), self.id, id_.decode(), number)
        with self.lock:
            sys.stdout.write(json.dumps(line) + "\n")
            sys.stdout.flush()

    def serve(self, connection):
        """Answer requests until an answer ends the connection, or the other end."""
        exchange = Exchange(connection)
        with contextlib.closing(connection), contextlib.suppress(OSError):
            while request := read_request(connection):
                if not self.answer(exchange, request):
                    return

    def answer(self, exchange, request):
        """Answer one request; return whether the connection may carry another one."""
        path, id_ = PATH.search(request), ID.search(request)[1]
        kind, name = path[2].decode(), path[3].decode()
        last_event = LAST_EVENT.search(request)
        first = int(last_event[1]) + 1 if last_event else 1
        manner = draw_manner(self.id, id_.decode(), kind, first)
        self.record("refused" if manner.is_refusal else "ran", id_, first)
        if kind != "copies":
            return self.stream(exchange, id_, name, manner, first)
        answer = encode(id_, manner)
        exchange.send(answer)
        if manner.copy:
            copy = (answer, manner.copy)
            threading.Timer(manner.delay_s, exchange.send_copy, copy).start()
        return manner.framing != "none"

    def stream(self, exchange, id_, name, manner, first):
        """Send a stream, or a part; return whether the connection is kept."""
        is_chunked = manner.framing == "chunked"
        more = b"Transfer-Encoding: chunked" if is_chunked else b"Connection: close"
        stamp = b"X-Pollenmount-Response-Stamp: stamp"
        exchange.send(make_head(id_, b"200 OK", stamp, EVENT_STREAM, more))
        last = EVENT_COUNT if manner.end == "whole" else manner.last
        encode_part = chunk if is_chunked else bytes
        for number in range(first, last + 1):
            exchange.send(encode_part(expected_event(name, number)))
            time.sleep(EVENT_INTERVAL_S)
        if manner.end != "whole":
            rest = encode_part(expected_event(name, last + 1)[:15])
            self.break_off(exchange, id_, manner, last, rest)
        elif is_chunked:
            exchange.send(chunk(b""))
        return is_chunked and manner.end == "whole"

    def break_off(self, exchange, id_, manner, last, rest):
        """End a stream early, maybe after `rest`, a part of the next event."""
        if manner.inside:
            exchange.send(rest)
            time.sleep(EVENT_INTERVAL_S)
        place = "inside" if manner.inside else "edge"
        self.record(f"{manner.end}-{manner.framing}-{place}", id_, last)
        if manner.end == "crash":
            os.kill(os.getpid(), signal.SIGKILL)
        if manner.end == "reset":
            exchange.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )


if __name__ == "__main__":
    run_target(Target, __doc__)
