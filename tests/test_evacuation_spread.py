"""Evacuations reach all entry VMs in time, whatever happens to VMs and links.

The tables and links are the real ones, connections and the log are simulated.
"""

import random

import pytest

from pollenmount.fleet.messages import EvacuationsChanged
from pollenmount.fleet.records import CONTROL, ENTRY
from tests.fleet_model import REGIONS, FleetModel

BOUND_MS = 5000
# A link that stands still is closed by whoever reads from it.
LINK_TIMEOUT_MS = 1500
# A replica that hears no leader knows that after twice the election timeout, one with
# an empty disk gets a vote within about 2 s.
NO_LEADER_MS = 1600
OUT_OF_LOG_MS = 12_000
STEP_MS = 200
EVENT_INTERVAL_MS = 1000
LENGTH_MS = 60_000


class Spread:
    """A fleet with troubles of a seed, and the evacuations in its log."""

    def __init__(self, model, seed):
        self.model = model
        self.random = random.Random(seed)
        self.orders = [(model.clock.now(), EvacuationsChanged(0, ()))]
        self.troubled_at = dict.fromkeys(model.nodes, model.clock.now())
        self.log_from = dict.fromkeys(model.nodes, 0)
        self.lost_log_at = dict.fromkeys(model.nodes, 0)
        self.later = []
        self.stalled = []

    def play(self):
        """Play the troubles, with a check after each step."""
        for elapsed_ms in range(0, LENGTH_MS, STEP_MS):
            if elapsed_ms % EVENT_INTERVAL_MS == 0:
                self.random.choice(self.events)(self)
            self.run_due()
            self.follow_log()
            self.model.run(STEP_MS)
            self.check()

    def call_later(self, ms, function, *args):
        """Call a function after a time."""
        self.later.append((self.model.clock.now() + ms, function, args))

    def run_due(self):
        """Call the functions whose time has come."""
        now = self.model.clock.now()
        due = [call for call in self.later if call[0] <= now]
        self.later = [call for call in self.later if call[0] > now]
        for _, function, args in due:
            function(*args)

    def follow_log(self):
        """Let control VMs that reach the log apply its newest evacuations."""
        now, cut = self.model.clock.now(), self.model.cut_zones
        for node in self.model.of_role(CONTROL):
            reaches = node.zone not in cut and now >= self.log_from[node.name]
            if not reaches:
                heard_at = max(self.troubled_at[node.name], self.lost_log_at[node.name])
                node.has_log &= now - heard_at < NO_LEADER_MS
                continue
            node.has_log = True
            node.fleet.handle(self.orders[-1][1], "log")

    def order(self):
        """Put an order on evacuations into the log."""
        revision = len(self.orders)
        domains = tuple(sorted(self.random.sample(sorted(self.zones), revision % 3)))
        message = EvacuationsChanged(revision, domains)
        self.orders.append((self.model.clock.now(), message))

    @property
    def zones(self):
        """Return the failure domains of the fleet."""
        return {node.zone for node in self.model.nodes.values()}

    def pick(self, role):
        """Return a running VM."""
        return self.random.choice(self.model.of_role(role))

    def restart_control(self):
        """Kill a control VM; it comes back, sometimes with an empty disk."""
        if len(self.model.of_role(CONTROL)) < len(self.model.seeds) * 2:
            return
        node = self.pick(CONTROL)
        self.kill(node)
        self.call_later(self.random.choice((300, 2000, 4000)), self.start, node)

    def leave_log(self):
        """Keep both control VMs of a region from the log, as by full disks."""
        now = self.model.clock.now()
        region = self.random.choice(REGIONS)
        for node in self.model.of_role(CONTROL):
            if node.region == region and now >= max(self.log_from.values()):
                self.lost_log_at[node.name] = now
        for name in self.lost_log_at:
            if self.lost_log_at[name] == now:
                self.log_from[name] = now + OUT_OF_LOG_MS

    def restart_entry(self):
        """Restart an entry VM."""
        node = self.pick(ENTRY)
        self.kill(node)
        self.call_later(self.random.choice((100, 1000)), self.start, node)

    def kill(self, node):
        """Kill a VM; links that stand still end with it on its side."""
        self.model.kill(node)
        for end in self.stalled:
            end.closed |= end.node is node

    def start(self, node):
        """Start a VM again."""
        now = self.model.clock.now()
        node.start()
        node.has_log = False
        self.troubled_at[node.name] = now
        self.log_from[node.name] = now + self.random.choice((200, 2500))

    def cut(self):
        """Cut a failure domain off for a while."""
        if self.model.cut_zones:
            return
        zone = self.random.choice(sorted(self.zones))
        self.note_trouble(zone)
        self.model.cut(zone)
        self.call_later(self.random.choice((1000, 4000)), self.join, zone)

    def join(self, zone):
        """End a cut."""
        self.note_trouble(zone)
        self.model.cut()

    def note_trouble(self, zone):
        """Note that the VMs of a failure domain are in trouble now."""
        now = self.model.clock.now()
        for node in self.model.nodes.values():
            if node.zone == zone:
                self.troubled_at[node.name] = now

    def stall_link(self):
        """Let a link of an entry VM stand still until its ends give it up."""
        ends = [end for end in self.model.ends if end.node.role == ENTRY]
        if not ends:
            return
        end = self.random.choice(ends)
        for stalled in (end, end.peer):
            self.model.ends.pop(stalled, None)
            self.stalled.append(stalled)
            self.call_later(LINK_TIMEOUT_MS, self.close_end, stalled)

    def close_end(self, end):
        """Close one end of a link, unless that has been done."""
        self.stalled.remove(end)
        was_closed, end.closed = end.closed, True
        if not was_closed:
            end.on_close()

    def check(self):
        """Check that entry VMs in touch have what was ordered before the bound."""
        now = self.model.clock.now()
        due = [message for at, message in self.orders if now - at >= BOUND_MS]
        for node in self.model.of_role(ENTRY):
            is_cut = node.zone in self.model.cut_zones
            if is_cut or now - self.troubled_at[node.name] < BOUND_MS:
                continue
            known = node.fleet.evacuations.revision
            assert not due or known >= due[-1].revision, (node.name, known, due[-1])

    events = (
        *(order, order, order, leave_log),
        *(restart_control, restart_entry, cut, stall_link),
    )


# Entry VMs sent to failure domains long after their evacuation was acknowledged.
@pytest.mark.parametrize("seed", range(8))
def test_entry_vms_in_touch_know_of_evacuations_in_time(seed):
    with FleetModel.started(12) as model:
        spread = Spread(model, seed)
        spread.play()
        assert len(spread.orders) > 5
