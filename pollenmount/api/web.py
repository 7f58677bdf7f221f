"""Small HTTP layer over WSGI: requests, replies and a server on a listener."""

import http
import json
import socket
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi

from pollenmount import task
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.log import get_logger

__all__ = ["Reply", "Request", "WebServer", "json_reply", "make_app", "refusal_reply"]

MAX_CONNECTIONS = 10_000
IDLE_TIMEOUT_S = 75
JSON_TYPE = ("Content-Type", "application/json")
MS_PER_S = 1000

logger = get_logger("web")


class Reply(NamedTuple):
    """An answer: status, headers, and a list or generator of bytes."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Any


class Request:
    """One HTTP request; its body is read on demand.

    `environ`
        The WSGI environment.
    """

    def __init__(self, environ):
        self.environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.query = environ.get("QUERY_STRING", "")

    @property
    def target(self):
        """Return path and query as they were sent."""
        raw = self.environ.get("RAW_PATH_INFO", self.path)
        return f"{raw}?{self.query}" if self.query else raw

    @property
    def connection(self):
        """Return the socket that the request came on."""
        return self.environ["eventlet.input"].get_socket()

    def query_value(self, name):
        """Return the first value of a query parameter, or ''."""
        return parse_qs(self.query).get(name, [""])[0]

    def header(self, name, default=""):
        """Return one header's value."""
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        return self.environ.get(key, default)

    def headers(self):
        """Return all headers as pairs, in the order they were sent."""
        return tuple(self.environ.get("headers_raw", ()))

    def bearer(self):
        """Return the key of the Authorization header, or ''."""
        scheme, _, key = self.header("Authorization").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def read(self, limit):
        """Return the body, or a `Refusal` if it is larger than `limit` bytes."""
        length = self.header("Content-Length", "0") or "0"
        if not length.isdigit():
            return Refusal(RefusalKind.BAD_REQUEST, "send a sound Content-Length")
        if int(length) > limit:
            return too_large(limit)
        try:
            body = self.environ["wsgi.input"].read(limit + 1)
        except (OSError, ValueError):
            message = "the body ended early; send it whole"
            return Refusal(RefusalKind.BAD_REQUEST, message)
        return too_large(limit) if len(body) > limit else body


def too_large(limit):
    """Return the refusal for a body over the limit."""
    message = f"the body is larger than {limit} bytes; send a smaller one"
    return Refusal(RefusalKind.TOO_LARGE, message)


def json_reply(document, status=200, headers=()):
    """Return a reply with a JSON document."""
    data = json.dumps(document).encode()
    length = ("Content-Length", str(len(data)))
    return Reply(status, (JSON_TYPE, length, *headers), [data])


def refusal_document(refusal):
    """Return what a caller is told about a refusal."""
    return {
        "error": {
            "code": str(refusal.kind),
            "message": refusal.message,
            "not_run": refusal.not_run,
            "retry_after_ms": refusal.retry_after_ms,
        }
    }


def refusal_reply(refusal, headers=()):
    """Return the reply that tells a refusal."""
    extra = list(headers)
    if refusal.retry_after_ms:
        seconds = -(-refusal.retry_after_ms // MS_PER_S)
        extra.append(("Retry-After", str(seconds)))
    return json_reply(refusal_document(refusal), refusal.status, extra)


def make_app(handle):
    """Return a WSGI application around `handle(Request) -> Reply`."""

    def app(environ, start_response):
        # Each chunk of a stream is sent when it arrives.
        environ["eventlet.minimum_write_chunk_size"] = 1
        reply = handle(Request(environ))
        start_response(status_line(reply.status), list(reply.headers))
        return reply.body

    return app


def status_line(status):
    """Return the WSGI status line."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


class ServerLog:
    """Passes the WSGI server's own lines to the log."""

    def write(self, text):
        """Log one line."""
        logger.warning("server", extra={"detail": text.strip()})


class WebServer:
    """Serves a WSGI application on `address` until it is closed."""

    def __init__(self, address, app):
        host, _, port = address.rpartition(":")
        self.socket = eventlet.listen((host.strip("[]"), int(port)), reuse_port=False)
        # Accepted sockets inherit it: small parts of an answer aren't held back.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.thread = task.spawn(self.run, app)

    def run(self, app):
        """Serve, for ever."""
        eventlet.wsgi.server(
            self.socket,
            app,
            log=ServerLog(),
            log_output=False,
            debug=False,
            max_size=MAX_CONNECTIONS,
            socket_timeout=IDLE_TIMEOUT_S,
            capitalize_response_headers=False,
        )

    def close(self):
        """Stop listening."""
        self.thread.kill()
        self.socket.close()
