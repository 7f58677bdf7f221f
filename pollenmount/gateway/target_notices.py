"""What targets say of themselves in the head of a response.

The head of a response to a hop is that of another region's target, which the entry VM
there handles.
"""

from pollenmount.fleet.leaving import RESPONSE
from pollenmount.fleet.messages import TargetLeaving
from pollenmount.gateway.attempt import connection_key

__all__ = ["TargetNotices"]

MISDIRECTED_REQUEST = 421


class TargetNotices:
    """Handles the notices in responses, and those that other VMs have read."""

    def __init__(self, fleet, pool, metrics):
        self.fleet = fleet
        self.pool = pool
        self.metrics = metrics
        fleet.listeners.append(self.handle_change)

    def handle_head(self, call, destination, status, info):
        """Handle the status and the `ResponseInfo` of a response to an attempt."""
        if not destination.target_id:
            return
        if info.leaving:
            self.handle_leaving(call, destination, status)

    def handle_leaving(self, call, destination, status):
        """Stop sending to a target that leaves, in the incarnation that was asked."""
        self.pool.retire(destination.connection_key)
        if status == MISDIRECTED_REQUEST:
            self.mark_other_at_address(call, destination)
        else:
            self.mark(call, destination.target_id, destination.incarnation)

    def mark_other_at_address(self, call, destination):
        """Mark the target that answered in place of the one that was asked.

        It is the other one known at the address, if there is just one.
        """
        records = (target.record for target in self.fleet.targets.by_id.values())
        others = [
            record
            for record in records
            if record.address == destination.address
            and record.id != destination.target_id
        ]
        if len(others) == 1:
            self.mark(call, others[0].id, others[0].born)

    def mark(self, call, id_, born):
        """Mark an incarnation as leaving, here and at the VMs of the region."""
        message = TargetLeaving(id_, born)
        if self.fleet.targets.handle_leaving(message, RESPONSE):
            self.metrics.targets_leaving.labels(call.service).inc()

    def handle_change(self, message, source):
        """Close the connections to a target that leaves."""
        if not isinstance(message, TargetLeaving):
            return
        target = self.fleet.targets.by_id.get(message.id)
        if target:
            record = target.record
            key = connection_key(record.id, record.address, record.born)
            self.pool.retire(key)
