"""Whether a further response may go on with a stream that has begun.

Both gateways ask this of the head of each response to an attempt that takes a stream
up, before any of its bytes is passed on.
"""

from pollenmount.wire.events import EVENT_STREAM

__all__ = ["find_mismatch", "is_event_stream"]

OK = 200


def find_mismatch(begun, further):
    """Return why a response does not go on with one that has begun, or ''.

    Both are heads with a `status` and `headers`. What goes on is a success of the same
    kind: the caller has the status and the headers of the first one only. One without a
    media type is taken for an event stream.
    """
    if further.status != begun.status or further.status != OK:
        return f"status {further.status} does not go on with a stream"
    for name, default in (("content-type", EVENT_STREAM), ("content-encoding", "")):
        expected = read_kind(begun.headers, name)
        kind = read_kind(further.headers, name)
        if kind != expected and (expected or kind != default):
            return f"a {name} of {kind!r} does not go on with {expected!r}"
    return ""


def is_event_stream(headers):
    """Return whether the body of a response consists of server-sent events."""
    return read_kind(headers, "content-type") == EVENT_STREAM


def read_kind(headers, name):
    """Return the value of a header without parameters, in lower case, '' for none."""
    values = (value for key, value in headers if key.lower() == name)
    return next(values, "").partition(";")[0].strip().lower()
