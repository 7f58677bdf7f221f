"""Selection of a few entry VMs by rendezvous hashing, alike on all control VMs."""

from pollenmount.fleet.records import ENTRY
from pollenmount.rendezvous import top_by_rendezvous

__all__ = ["is_available", "prefer_paths", "select_senders", "select_hop_peers"]

MAX_SENDERS_PER_TARGET = 3
HOP_PEERS_PER_REGION = 4


def is_available(member):
    """Return whether an entry VM takes new requests."""
    return (
        member.role == ENTRY
        and member.ready
        and member.plan > 0
        and not member.stopping
    )


def prefer_paths(members):
    """Return those of some entry VMs that reach targets, or all if none says so."""
    return [member for member in members if member.has_paths] or [*members]


def select_senders(id_, rate_per_s, names):
    """Return the names of the entry VMs that share a target's rate, as a tuple.

    If each of many VMs had a small share of the target's rate, their requests could
    coincide and exceed it.
    """
    count = max(1, min(MAX_SENDERS_PER_TARGET, int(rate_per_s)))
    return tuple(top_by_rendezvous(id_, names, count))


def select_hop_peers(name, members):
    """Return the other entry VMs of a region to which the VM `name` may send hops.

    Each VM has a different selection, so that hops are spread over the region.
    """
    by_name = {member.name: member for member in members if member.name != name}
    chosen = top_by_rendezvous(name, by_name, HOP_PEERS_PER_REGION)
    return [by_name[other] for other in chosen]
