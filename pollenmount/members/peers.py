"""Chooses the peers of one round of heartbeats, and introduces nodes that join."""

import collections

from pollenmount.members.local import by_rank

__all__ = ["Contacts", "ShuffledRotation", "relay_address"]

MAX_RECENT_CONTACTS = 4
MAX_DOMAINS = 256
MAX_ROSTER_CONTACTS = 2


class ShuffledRotation:
    """Goes round changing sets of items in a shuffled order.

    `random`
        Source of the order.
    """

    def __init__(self, random):
        self.random = random
        self.remaining = []

    def take(self, items, count):
        """Return up to `count` of the items, each once a round."""
        items = set(items)
        chosen = []
        while items and len(chosen) < min(count, len(items)):
            if not self.remaining:
                self.remaining = sorted(items - {*chosen})
                self.random.shuffle(self.remaining)
            item = self.remaining.pop()
            if item in items and item not in chosen:
                chosen.append(item)
        return chosen


class Contacts:
    """Addresses of other failure domains' members, for nodes that join there.

    `remote`
        The table whose rosters name the members that are known for longer.
    """

    def __init__(self, remote):
        self.remote = remote
        self.recent = collections.OrderedDict()

    def contacts_for(self, failure_domain, address):
        """Return addresses to join at, and remember the caller's for others."""
        recent = self.recent.pop(failure_domain, ())
        self.recent[failure_domain] = (address, *excluding(recent, address))[
            :MAX_RECENT_CONTACTS
        ]
        if len(self.recent) > MAX_DOMAINS:
            self.recent.popitem(last=False)
        held = self.remote.rosters.get(failure_domain)
        members = by_rank(held.roster.members) if held else []
        known = [member.control for member in members[:MAX_ROSTER_CONTACTS]]
        return tuple(sorted({*known, *excluding(recent, address)}))


def excluding(addresses, address):
    """Return the addresses but for one."""
    return [other for other in addresses if other != address]


def relay_address(roster, turn):
    """Return the control address to ask for a failure domain, or None.

    Turns 0 and 1 stand for its relays, later ones for the other members.
    """
    members = by_rank(roster.members)
    if not members:
        return None
    return members[turn % len(members)].control
