"""Ids of requests whose responses a connection has brought.

A faulty peer may write a response once more on the same connection. Under another id
such a copy is recognized; if the same id were sent over the connection again, it would
be taken for the response to that.
"""

__all__ = ["AnsweredIds"]

MAX_FAILED_IDS = 32


class AnsweredIds:
    """The ids of the requests that failed, and of the last one that succeeded.

    A request that failed may come again under its id at any time. The copy of a success
    is to be expected before the response to the next request only. The copy of a
    failure without id would fit to any request.
    """

    def __init__(self):
        self.failed = set()
        self.succeeded = None

    def __contains__(self, id_):
        """Return whether a copy of an earlier response may have this id."""
        return id_ in self.failed or id_ == self.succeeded

    @property
    def is_full(self):
        """Return whether the connection must carry no further request."""
        return len(self.failed) >= MAX_FAILED_IDS or "" in self.failed

    def add(self, id_, has_succeeded):
        """Remember the id of a response, '' for none."""
        if has_succeeded:
            self.succeeded = id_
        else:
            self.failed.add(id_)
