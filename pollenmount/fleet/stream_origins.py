"""Which service and version of its software began each stream that may be resumed.

The events of two versions don't fit together, so a stream goes on only at the version
that began it. An entry VM records a stream before it delivers the first event, and
tells the control VMs, which tell each other: any of them can be asked. A stream is
known by its caller's request id, and by the request itself for callers that take it up
without naming it.
"""

import collections
import contextlib
import functools
import hashlib
import itertools
from typing import NamedTuple

__all__ = [
    "RequestOrigins",
    "StreamOrigin",
    "StreamOrigins",
    "request_key",
    "stream_key",
]

MAX_STREAMS = 131_072
# Longer than callers wait for a response, tries included.
ORIGIN_TTL_MS = 120_000
KEY_BYTES = 8
# Streams in one message; the rest follows in others.
MAX_KEYS_PER_MESSAGE = 4096
MAX_SHARED_SETS = 256


class StreamOrigin(NamedTuple):
    """The service and the version of the target that sent a stream's first event."""

    service: str
    version: str


class KnownOrigin(NamedTuple):
    """The origin of a stream, and when it was recorded."""

    origin: StreamOrigin
    at: int


class OriginStore:
    """Origins that are `known` by key, the oldest first, for a limited time.

    `unsent` has the keys, by origin, that other VMs have not been told yet.
    """

    def __init__(self, clock):
        self.clock = clock
        self.known = collections.OrderedDict()
        self.unsent = collections.defaultdict(list)

    def store(self, key, known):
        """Store what is known of a key, in place of the oldest if there are many."""
        self.known[key] = known
        self.known.move_to_end(key)
        if len(self.known) > MAX_STREAMS:
            self.known.popitem(last=False)

    def sweep(self):
        """Drop the origins of streams that nobody takes up any more."""
        drop_expired(self.known, self.clock.now())

    def take_unsent(self):
        """Yield (origin, keys) that other VMs have not been told, and forget them."""
        unsent, self.unsent = self.unsent, collections.defaultdict(list)
        yield from split_keys(unsent)


class StreamOrigins(OriginStore):
    """Origins by the key of the stream.

    `ask` sends a question about a key to all linked control VMs.
    """

    def __init__(self, clock):
        super().__init__(clock)
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
        self.store(key, KnownOrigin(origin, self.clock.now()))
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

    def all_by_origin(self):
        """Yield (origin, keys) of all streams, for a VM that knows none."""
        by_origin = collections.defaultdict(list)
        for key, known in self.known.items():
            by_origin[known.origin].append(key)
        yield from split_keys(by_origin)


class KnownRequest(NamedTuple):
    """The origins of a request's streams, and when one was recorded last."""

    origins: frozenset[StreamOrigin]
    at: int


class RequestOrigins(OriginStore):
    """Origins of all streams that answer the same request.

    The same request may begin a stream several times, at several versions. `ask` sends
    a question with a number and a key to all linked control VMs, and returns which.
    `answers` has what each of them told since, by number.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.ask = lambda number, key: ()
        self.numbers = itertools.count(1)
        self.answers = {}

    def record(self, key, origin):
        """Record that a stream has begun, for other VMs too."""
        self.add(key, origin)
        self.unsent[origin].append(key)

    def add(self, key, origin):
        """Keep one more origin of a request's streams."""
        origins = with_origin(self.find(key), origin)
        self.store(key, KnownRequest(origins, self.clock.now()))

    def find(self, key):
        """Return the origins of a request's streams that are known here, as a set."""
        known = self.known.get(key)
        if known is None or self.clock.now() - known.at >= ORIGIN_TTL_MS:
            return frozenset()
        return known.origins

    def all_by_origin(self):
        """Yield (origin, keys) of all requests, for a VM that knows none."""
        by_origin = collections.defaultdict(list)
        for key, known in self.known.items():
            for origin in known.origins:
                by_origin[origin].append(key)
        yield from split_keys(by_origin)

    @contextlib.contextmanager
    def question(self):
        """Yield the number of a new question; its answers are kept meanwhile."""
        number = next(self.numbers)
        self.answers[number] = {}
        try:
            yield number
        finally:
            del self.answers[number]

    def handle_answer(self, number, source, origins):
        """Keep what a control VM has told, if the question is still open."""
        if number in self.answers:
            told = frozenset(StreamOrigin(*origin) for origin in origins)
            self.answers[number][source] = told


@functools.lru_cache(MAX_SHARED_SETS)
def with_origin(origins, origin):
    """Return a set of origins with one more; the keys of all streams share it."""
    return origins | {origin}


def drop_expired(known, now):
    """Remove the entries, the oldest first, that are older than `ORIGIN_TTL_MS`."""
    while known and next(iter(known.values())).at <= now - ORIGIN_TTL_MS:
        known.popitem(last=False)


def split_keys(by_origin):
    """Yield (origin, keys) with no more keys each than a message holds."""
    for origin, keys in by_origin.items():
        for start in range(0, len(keys), MAX_KEYS_PER_MESSAGE):
            yield origin, tuple(keys[start : start + MAX_KEYS_PER_MESSAGE])


def stream_key(host, request_id):
    """Return the key of the stream that began as a request of a caller at a host."""
    return hash_key(f"{host} {request_id}")


def request_key(digest, part_ids):
    """Return the key of a request with a digest and the ids of its prompt's parts.

    The parts tell prompts apart of which the bodies are alike.
    """
    return hash_key(" ".join((digest, *part_ids)))


def hash_key(text):
    """Return a hash of a text that fits a signed number of 8 bytes."""
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest) >> 1
