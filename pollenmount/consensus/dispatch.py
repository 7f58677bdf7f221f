"""The dispatch of messages between replicas; each module registers its handlers.

A message of an older term never reaches a handler, nor does one of a newer term before
this replica follows that term.
"""

from functools import singledispatch

__all__ = ["receive"]


@singledispatch
def receive(message, ctx, sender):
    """Take in a message of another replica in the step context `ctx`."""
    raise TypeError(f"no message between replicas: {type(message).__name__}")
