"""Rendezvous hashing: an order of names for a key, the same on all VMs.

When names come or go, only the keys that belong to them move.
"""

import hashlib
import heapq

__all__ = ["rank_by_rendezvous", "top_by_rendezvous"]

DIGEST_BYTES = 8


def rank_by_rendezvous(key, names):
    """Return the names in the order of their weight for the key, best first."""
    return sorted(names, key=lambda name: weight(key, name))


def top_by_rendezvous(key, names, count):
    """Return the first `count` names in the order of their weight for the key."""
    return heapq.nsmallest(count, names, key=lambda name: weight(key, name))


def weight(key, name):
    """Return the weight of a name for a key; the smallest weight is the best."""
    text = f"{key} {name}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
