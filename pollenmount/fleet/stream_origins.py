"""Which service and version of its software began each stream that may be resumed.

The events of two versions don't fit together, so a stream goes on only at the version
that began it. An entry VM records a stream before it delivers the first event, and
tells the control VMs, which tell each other: any of them can be asked.
"""

import collections
import hashlib
from typing import NamedTuple

__all__ = ["StreamOrigin", "StreamOrigins", "stream_key"]

MAX_STREAMS = 131_072
# Longer than callers wait for a response, tries included.
ORIGIN_TTL_MS = 120_000
KEY_BYTES = 8
# Streams in one message; the rest follows in others.
MAX_KEYS_PER_MESSAGE = 4096


class StreamOrigin(NamedTuple):
    """The service and the version of the target that sent a stream's first event."""

    service: str
    version: str


class KnownOrigin(NamedTuple):
    """The origin of a stream, and when it was recorded."""

    origin: StreamOrigin
    at: int


class StreamOrigins:
    """Origins by the key of the stream, in `known`, the oldest first.

    `unsent` has the keys, by origin, that other VMs have not been told yet. `ask` sends
    a question about a key to all linked control VMs.
    """

    def __init__(self, clock):
        self.clock = clock
        self.known = collections.OrderedDict()
        self.unsent = collections.defaultdict(list)
        self.ask = lambda key: None

    def record(self, key, origin):
        """Record a stream that this VM has seen begin, for other VMs too."""
        if self.add(key, origin):
            self.unsent[origin].append(key)

    def add(self, key, origin):
        """Keep the origin of a stream; return whether it is news.

        The first origin is the true one: a stream goes on only there.
        """
        if self.find(key) is not None:
            return False
        self.known[key] = KnownOrigin(origin, self.clock.now())
        if len(self.known) > MAX_STREAMS:
            self.known.popitem(last=False)
        return True

    def find(self, key):
        """Return the `StreamOrigin` of a stream, None if it is not known here."""
        known = self.known.get(key)
        if known is None:
            return None
        if self.clock.now() - known.at >= ORIGIN_TTL_MS:
            del self.known[key]
            return None
        return known.origin

    def sweep(self):
        """Drop the origins of streams that nobody takes up any more."""
        oldest_at = self.clock.now() - ORIGIN_TTL_MS
        while self.known and next(iter(self.known.values())).at <= oldest_at:
            self.known.popitem(last=False)

    def take_unsent(self):
        """Yield (origin, keys) that other VMs have not been told, and forget them."""
        unsent, self.unsent = self.unsent, collections.defaultdict(list)
        yield from split_keys(unsent)

    def all_by_origin(self):
        """Yield (origin, keys) of all streams, for a VM that knows none."""
        by_origin = collections.defaultdict(list)
        for key, known in self.known.items():
            by_origin[known.origin].append(key)
        yield from split_keys(by_origin)


def split_keys(by_origin):
    """Yield (origin, keys) with no more keys each than a message holds."""
    for origin, keys in by_origin.items():
        for start in range(0, len(keys), MAX_KEYS_PER_MESSAGE):
            yield origin, tuple(keys[start : start + MAX_KEYS_PER_MESSAGE])


def stream_key(host, request_id):
    """Return the key of the stream that began as a request of a caller at a host."""
    text = f"{host} {request_id}".encode()
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest) >> 1
