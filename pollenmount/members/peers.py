"""Chooses the peers of a heartbeat round, of news, and the contacts of new nodes."""

import collections

from pollenmount.members.local import RELAYS, by_rank

__all__ = [
    "Contacts",
    "ShuffledRotation",
    "members_for_relay",
    "relay_address",
    "relays_by_share",
]

MAX_RECENT_CONTACTS = 4
MAX_DOMAINS = 256
MAX_ROSTER_CONTACTS = 2


class ShuffledRotation:
    """Round-robin in shuffled order over sets of items that may change.

    `random`
        Random generator that shuffles the items.
    """

    def __init__(self, random):
        self.random = random
        self.remaining = []

    def take(self, items, count):
        """Return up to `count` of the items; each comes once before any repeats."""
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
    """Addresses of members of other failure domains, for nodes that join those.

    `remote`
        The `RemoteDomainTable` whose rosters name the established members.
    """

    def __init__(self, remote):
        self.remote = remote
        self.recent = collections.OrderedDict()

    def contacts_for(self, failure_domain, address):
        """Return addresses to join at, and keep the caller's for later callers."""
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


def relays_by_share(members):
    """Yield (relay, share) for the relays of each failure domain of the members."""
    domains = {}
    for member in members:
        domains.setdefault(member.failure_domain, []).append(member)
    for domain_members in domains.values():
        for share, member in enumerate(by_rank(domain_members)[:RELAYS]):
            yield member, share


def members_for_relay(local, share):
    """Return the members that the relay with this share passes news on to."""
    relays = {member.name for member in local.relays()}
    rest = [
        row.member
        for name, row in sorted(local.reachable_rows().items())
        if name not in relays
    ]
    return rest[share::RELAYS]


def excluding(addresses, address):
    """Return the addresses without one of them."""
    return [other for other in addresses if other != address]


def relay_address(roster, turn):
    """Return the control address to pull a failure domain's reports from, or None.

    Turns 0 and 1 select its relays, later ones its other members.
    """
    members = by_rank(roster.members)
    if not members:
        return None
    return members[turn % len(members)].control
