"""Statuses that tell a caller that its request has not run.

A response of a target with one of them proves nothing by itself: a target that has not
run a request says so in a header of its own.
"""

__all__ = ["DENIALS"]

DENIALS = frozenset((408, 421, 429, 503))
