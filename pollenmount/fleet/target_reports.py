"""What a control VM hears from targets themselves, and tells the other control VMs."""

from pollenmount.fleet.messages import EvacuationsChanged, TargetRefused, TargetSeen
from pollenmount.fleet.target import make_target_doubted

__all__ = ["DIRECT", "TargetReports"]

# Source of what a control VM observes itself.
DIRECT = "direct"


class TargetReports:
    """Handles heartbeats and leaves of targets, and the lack of them.

    `senders` selects the VMs that may send to restricted targets; `tell_control_vms`
    sends a message to the other control VMs.
    """

    def __init__(self, fleet, senders, tell_control_vms):
        self.fleet = fleet
        self.senders = senders
        self.tell_control_vms = tell_control_vms
        self.clock = fleet.clock
        fleet.listeners.append(self.name_cold_senders)

    def handle_heartbeat(self, record):
        """Handle a heartbeat that a target sent to this VM."""
        cold_senders = self.senders.of_cold(record) if record.cold_ms > 0 else ()
        message = TargetSeen(record, 0, cold_senders)
        if self.fleet.targets.handle_seen(message, DIRECT):
            self.tell_control_vms(message)

    def update_limit_senders(self):
        """Replace the VMs that may send to a limited target if some have gone."""
        for message in [*self.fleet.targets.limits.messages()]:
            selected = self.senders.complete(message)
            if selected.senders != message.senders:
                self.fleet.targets.handle_limited(selected, DIRECT)

    def handle_leave(self, id_):
        """Handle a target's own notice that it leaves."""
        message = self.fleet.targets.handle_leave(id_, DIRECT)
        self.tell_control_vms(message)

    def doubt_overdue(self, overdue_ms):
        """Tell all VMs of targets that may have restarted since they were heard."""
        for known in self.fleet.targets.overdue(overdue_ms, DIRECT):
            self.doubt(known)

    def name_cold_senders(self, message, source):
        """Name the VMs that may send to targets that have just come into doubt."""
        if not isinstance(message, EvacuationsChanged | TargetRefused):
            return
        now = self.clock.now()
        for known in [*self.fleet.targets.by_id.values()]:
            if DIRECT in known.heard_by and known.is_doubted(now):
                self.doubt(known)

    def doubt(self, known):
        """Tell all VMs that a target may be cold until it is heard again."""
        message = make_target_doubted(known, self.senders.of_cold(known.record))
        self.fleet.targets.handle_doubted(message, DIRECT)
        self.tell_control_vms(message)

    def sweep(self, silence_ms):
        """Mark targets silent that this VM has not heard for `silence_ms`."""
        for message in self.fleet.targets.sweep(silence_ms, DIRECT):
            self.tell_control_vms(message)
