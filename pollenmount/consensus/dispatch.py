"""Dispatch of messages between replicas by type; each module registers its handlers.

A message of an older term never reaches a handler. One of a newer term reaches it after
this replica has adopted that term, except for pre-vote requests and granted pre-votes.
"""

from functools import singledispatch

__all__ = ["receive"]


@singledispatch
def receive(message, ctx, sender):
    """Handle a message of another replica in the step `ctx`."""
    raise TypeError(f"not a message between replicas: {type(message).__name__}")
