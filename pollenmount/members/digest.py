"""Short digests sent instead of values that a peer may already hold."""

import hashlib

import msgspec

__all__ = ["digest_of", "rank_of"]

DIGEST_BYTES = 7


def digest_of(value):
    """Return a 56-bit integer for a value that msgpack can encode."""
    data = msgspec.msgpack.encode(value)
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def rank_of(name):
    """Return a sort key that orders members identically on all nodes."""
    return digest_of(name), name
