"""Incarnations of targets that said in a response that they leave."""

__all__ = ["LeavingTargets"]

MAX_LEAVING_TARGETS = 4096


class LeavingTargets:
    """Start times of leaving incarnations by target id; the oldest marks are dropped.

    An incarnation that leaves doesn't come back, whatever its later heartbeats say. A
    later incarnation with the same id is a new target.
    """

    def __init__(self):
        self.born_by_id = {}

    def add(self, id_, born):
        """Mark an incarnation; return whether neither it nor a later one was marked."""
        known = self.born_by_id.get(id_)
        if known is not None and born <= known:
            return False
        self.born_by_id.pop(id_, None)
        while len(self.born_by_id) >= MAX_LEAVING_TARGETS:
            del self.born_by_id[next(iter(self.born_by_id))]
        self.born_by_id[id_] = born
        return True

    def has(self, record):
        """Return whether the incarnation in a `TargetRecord` leaves."""
        born = self.born_by_id.get(record.id)
        return born is not None and record.born <= born

    def apply(self, record):
        """Return a `TargetRecord`, draining if its incarnation leaves."""
        return record._replace(draining=True) if self.has(record) else record
