"""What a control VM knows of the other ones, and what it leaves to those it can't hear.

The entry VMs of a control VM that is silent may go on to admit requests. So a part of
each rate is left to them, until they are linked to control VMs that are heard, or until
they certainly admit nothing any more.
"""

import collections
from typing import NamedTuple

from pollenmount.accounts.own_share import SAFETY_FACTOR
from pollenmount.accounts.rates import AverageRate
from pollenmount.fleet.entry_counter import RegionCount

__all__ = ["SILENT_MS", "USE_DECAY_MS", "ControlPeers", "Increment"]

# Totals come at least every 250 ms.
SILENT_MS = 600
# After this time, control VMs without a quorum let nothing more through. It ends before
# those with one take the whole rate.
MINORITY_STOP_MS = 50_000
MAX_SILENCE_MS = 60_000
# Time in which what a control VM sent while it was silent has arrived.
RETURN_MS = 500
# An entry VM sees a small account every few seconds only.
USE_DECAY_MS = 10_000
# Entry VMs without any link go on with their own share. The tolerance of the bound
# covers some of them, so that the restart of a few VMs changes nothing.
MIN_LOST_PART = 0.1
# Two sides of a cut that decide at random together admit somewhat more by chance.
SILENCE_FACTOR = 0.9


class Increment(NamedTuple):
    """What an account spent and asked for since the last report."""

    name: str
    spent: int
    asked: int


class Total(NamedTuple):
    """Number of entry VMs that control VMs counted together at a time."""

    at: int
    members: int


class ControlPeer:
    """Another control VM.

    `totals` are its rows by account, None before it sent all of them. While it is
    silent, `shares` has its part in the use of each account before.
    """

    def __init__(self, incarnation, now):
        self.incarnation = incarnation
        self.heard_at = now
        self.ignore_until = now
        self.message = None
        self.totals = None
        self.rates = {}
        self.shares = None

    @property
    def members(self):
        """Return the number of entry VMs that it counted for."""
        return self.message.members if self.message else 0

    def handle(self, message, now):
        """Store a `QuotaTotals`; return the increments to count."""
        if self.shares is not None:
            # What it spent while it was silent was left to it.
            self.shares = None
            self.ignore_until = now + RETURN_MS
        self.heard_at = now
        self.message = message
        if self.totals is None:
            if message.complete:
                self.totals = {row.name: row for row in message.rows}
            return []
        increments = [*self.increments(message.rows)]
        if now < self.ignore_until:
            return []
        for increment in increments:
            rate = self.rates.setdefault(increment.name, AverageRate(USE_DECAY_MS))
            rate.add(increment.spent, now)
        return increments

    def increments(self, rows):
        """Yield the increments of rows, and store the rows."""
        for row in rows:
            known = self.totals.get(row.name)
            self.totals[row.name] = row
            spent, asked = (known.spent, known.asked) if known else (0, 0)
            yield Increment(row.name, row.spent - spent, row.asked - asked)


class ControlPeers:
    """The other control VMs by name, and which of them are silent.

    `expected` is the number of entry VMs that all control VMs counted together when
    none was silent, and `highest` the highest one of the last minute. `lost_part` is
    the part of the rate that is left to entry VMs that have no link.
    """

    def __init__(self):
        self.by_name = {}
        self.counts = collections.deque()
        self.expected = 0
        self.highest = RegionCount()
        self.lost_part = 0.0
        self.silent_part = 0.0
        self.is_stopped = False

    def handle(self, name, incarnation, message, now):
        """Store a `QuotaTotals` of another control VM; return its increments."""
        peer = self.by_name.get(name)
        if peer is None or peer.incarnation != incarnation:
            peer = self.by_name[name] = ControlPeer(incarnation, now)
        return peer.handle(message, now)

    def levels(self, name):
        """Return the levels of an account that other control VMs sent last."""
        rows = (peer.totals.get(name) for peer in self.by_name.values() if peer.totals)
        return [row.level for row in rows if row is not None]

    def heard(self):
        """Return the names of the control VMs that are heard, as a tuple."""
        return tuple(n for n, peer in self.by_name.items() if peer.shares is None)

    def update(self, members, rates, has_quorum, now):
        """Find which control VMs are silent, and which part is left to them.

        `members` and `rates` are the number of entry VMs and the use that this control
        VM counts itself.
        """
        self.find_silent(rates, now)
        silent = [peer for peer in self.by_name.values() if peer.shares is not None]
        heard = members + sum(
            peer.members for peer in self.by_name.values() if peer.shares is None
        )
        self.lost_part = 0.0
        if not silent:
            self.record_count(heard, now)
            self.lost_part = self.find_lost_part(heard, now)
        self.silent_part = self.find_silent_part(silent, heard)
        silent_ms = max((now - peer.heard_at for peer in silent), default=0)
        self.is_stopped = (
            bool(self.silent_part) and not has_quorum and silent_ms >= MINORITY_STOP_MS
        )
        if has_quorum:
            self.forget_gone(now)

    def find_silent(self, rates, now):
        """Note which control VMs have turned silent, and their part in the use."""
        for peer in self.by_name.values():
            if peer.shares is None and now - peer.heard_at >= SILENT_MS:
                peer.shares = {
                    name: self.use_share(name, rate, rates, peer.heard_at)
                    for name, rate in peer.rates.items()
                }

    def use_share(self, name, rate, own_rates, at):
        """Return a part of the recent use of an account, as `rate` has it."""
        rates = [own_rates.get(name)]
        rates += [peer.rates.get(name) for peer in self.by_name.values()]
        total = sum(other.per_ms(at) for other in rates if other)
        return rate.per_ms(at) / total if total > 0 else 0.0

    def record_count(self, members, now):
        """Record a count while none is silent.

        `expected` is one from before the silence, since VMs may have been linked
        elsewhere by the time it is noticed.
        """
        self.counts.append(Total(now, members))
        while len(self.counts) > 1 and self.counts[1].at <= now - SILENT_MS:
            self.counts.popleft()
        self.expected = self.counts[0].members

    def find_lost_part(self, heard, now):
        """Return the part of the rate that entry VMs without links may use.

        While VMs change over to another control VM, they are counted twice for a while.
        """
        self.highest.record(min(total.members for total in self.counts), now)
        highest = self.highest.highest(now)
        lost = (highest - heard) / highest if highest else 0.0
        return SAFETY_FACTOR * lost if lost >= MIN_LOST_PART else 0.0

    def find_silent_part(self, silent, heard):
        """Return which part of the silent ones' entry VMs is not linked elsewhere."""
        members = sum(peer.members for peer in silent)
        missing = min(members, self.expected - heard)
        return missing / members if missing > 0 else 0.0

    def part(self, name):
        """Return the part of an account's rate that refills the bucket here."""
        if self.is_stopped:
            return 0.0
        if not self.silent_part:
            return 1.0 - self.lost_part
        left = sum(
            (peer.members / self.expected + self.share(peer, name)) / 2
            for peer in self.by_name.values()
            if peer.shares is not None
        )
        return SILENCE_FACTOR * max(0.0, 1.0 - self.silent_part * left)

    def share(self, peer, name):
        """Return a silent control VM's part in the use, by entry VMs without use."""
        if any(other.shares and name in other.shares for other in self.silent()):
            return peer.shares.get(name, 0.0)
        return peer.members / self.expected

    def silent(self):
        """Return the control VMs that are silent."""
        return [peer for peer in self.by_name.values() if peer.shares is not None]

    def forget_gone(self, now):
        """Drop control VMs that none has heard for long: their entry VMs have stopped.

        This needs a quorum, as without one the others may go on.
        """
        heard = {
            name
            for peer in self.by_name.values()
            if peer.shares is None and peer.message
            for name in peer.message.heard
        }
        for name, peer in [*self.by_name.items()]:
            if now - peer.heard_at >= MAX_SILENCE_MS and name not in heard:
                del self.by_name[name]
                self.highest = RegionCount()
