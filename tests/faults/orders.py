"""An operator who gives orders while VMs restart, and readers of their numbers.

What was acknowledged is read back, and no number goes back for any reader.
"""

import collections
import json
import random
import threading
import time

from standins.cluster import wait_until
from tests.soak.fleet import call

__all__ = ["STATE_PORT", "Orders"]

STATE_PORT = 8005
OK = 200
READ_INTERVAL_S = 0.03
ORDER_INTERVAL_S = 0.1
PLAN_SHARE = 0.8
DOMAIN = "east-a"
# From the acknowledgement of an evacuation on, and before its end is sent.
EVACUATE_S = 3.0


class Orders:
    """Gives orders to a `PlayFleet`, and reads their numbers; `faults` are texts.

    `floor` is the newest version that was acknowledged or read, `spans` the times in
    which `DOMAIN` was surely evacuated, and `counts` counts orders and reads.
    """

    def __init__(self, fleet, seed, stopping):
        self.fleet, self.stopping = fleet, stopping
        self.random = random.Random(seed)
        self.floor = self.version = 1
        self.is_evacuated = False
        self.older_s = 0.0
        self.spans, self.faults = [], []
        self.counts = collections.Counter()
        ips = {**fleet.control_ips, **fleet.entry_ips}
        self.threads = [
            threading.Thread(target=self.give_orders),
            *(
                threading.Thread(target=self.read_plans, args=(address,))
                for address in fleet.operator_addresses
            ),
            *(
                threading.Thread(target=self.read_state, args=(name, ip))
                for name, ip in ips.items()
            ),
        ]

    def give_orders(self):
        """Put plans and set evacuations, each until it is acknowledged."""
        while not self.stopping.wait(self.random.uniform(0, 2 * ORDER_INTERVAL_S)):
            if self.random.random() < PLAN_SHARE:
                self.version += self.random.randint(1, 5)
                self.order(lambda a: self.fleet.put_version(a, self.version))
                self.floor = max(self.floor, self.version)
            elif self.is_evacuated:
                self.spans[-1][1] = time.monotonic()
                self.order(lambda a: self.fleet.set_evacuation(a, DOMAIN, False))
                self.is_evacuated = False
            else:
                self.order(lambda a: self.fleet.set_evacuation(a, DOMAIN, True))
                self.is_evacuated = True
                self.spans.append([time.monotonic(), float("inf")])

    def order(self, send):
        """Send an order to any control VM until one acknowledges it."""
        while (
            status := send(self.random.choice(self.fleet.operator_addresses))
        ) != 200:
            self.counts[f"orders {status}"] += 1
            time.sleep(READ_INTERVAL_S)
        self.counts["orders 200"] += 1

    def read_plans(self, address):
        """Read the version of the newest plan at one control VM."""
        while not self.stopping.wait(READ_INTERVAL_S):
            floor, version = self.floor, self.fleet.read_version(address)
            self.counts["reads" if version else "reads refused"] += 1
            if version and version < floor:
                self.faults.append(f"{address} read {version} after {floor}")
            self.floor = max(self.floor, version or 0)

    def read_state(self, name, ip):
        """Read the numbers that one VM shows: none goes back in one start of it.

        After a start it may show older ones, until the control VMs agree: `counts` has
        such states, and `older_s` how long they lasted at most.
        """
        newest, starts, older_since = (0, 0), {}, None
        while not self.stopping.wait(READ_INTERVAL_S):
            status, body = call(f"{ip}:{STATE_PORT}", "GET", "/v1/state")
            if status != OK:
                continue
            document = json.loads(body)
            numbers = document["vm"]["plan"], document["evacuations"]["revision"]
            incarnation = document["vm"]["incarnation"]
            if is_older(numbers, starts.get(incarnation, (0, 0))):
                self.faults.append(f"{name} shows {numbers} after {starts}")
            starts[incarnation] = numbers
            self.counts["states"] += 1
            now = time.monotonic()
            if is_older(numbers, newest):
                self.counts["older states after a start"] += 1
                older_since = older_since or now
                self.older_s = max(self.older_s, now - older_since)
            else:
                older_since = None
            newest = tuple(map(max, numbers, newest))

    def check_end(self):
        """Check that all that was acknowledged is read back, once all VMs are up."""
        for address in self.fleet.operator_addresses:
            wait_until(lambda a=address: self.fleet.read_version(a))
            version = self.fleet.read_version(address)
            if version != self.version:
                self.faults.append(f"{address} reads {version} at the end")
        for name, ip in (self.fleet.control_ips | self.fleet.entry_ips).items():
            wait_until(lambda n=ip: self.shows_all(n))
            self.counts[f"end {name}"] += 1

    def shows_all(self, ip):
        """Return whether a VM knows the newest plan and whether there is evacuation."""
        status, body = call(f"{ip}:{STATE_PORT}", "GET", "/v1/state")
        document = json.loads(body) if status == OK else {"vm": {"plan": 0}}
        return document["vm"]["plan"] == self.version and (
            document["evacuations"]["failure_domains"] == [DOMAIN] * self.is_evacuated
        )

    def find_late_runs(self, targets):
        """Return texts of the runs in `DOMAIN` while it was evacuated.

        `targets` are the id, address and failure domain of each target.
        """
        ids = {id_ for id_, _, domain in targets if domain == DOMAIN}
        return [
            f"EVAC: {record} {record.at - start:.2f} s after the acknowledgement"
            for record in self.fleet.records
            for start, end in self.spans
            if record.target in ids and start + EVACUATE_S < record.at < end
        ]


def is_older(numbers, newest):
    """Return whether one of the numbers that a VM knows is below the newest."""
    pairs = zip(numbers, newest, strict=True)
    return any(number and number < highest for number, highest in pairs)
