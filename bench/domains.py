"""Simulates failure domains of full size on the fake network and measures them."""

from typing import NamedTuple

from bench.network import FakeNetwork, FakeTarget
from pollenmount.targets.table import Announcement

__all__ = ["NetworkCosts", "build_network", "make_sheet", "measure_network"]

SEED_NODES = 3
REGION_COUNT = 7
MODEL_COUNT = 4
SERVICES = ("filing", "lookup", "contact")
ADAPTERS = ["custody", "maintenance"]


class NetworkCosts(NamedTuple):
    """Payload bytes in and out and messages sent, per node and heartbeat.

    `plain_` fields are means over nodes that aren't relays, `relay_` fields means over
    relays; `most_bytes` is the maximum. `age_ms` fields are ages of received summaries.
    """

    plain_bytes: float
    relay_bytes: float
    most_bytes: float
    plain_messages: float
    relay_messages: float
    age_ms_median: int
    age_ms_most: int


def make_target(index):
    """Return a target that has all models and services and a varying load."""
    models = tuple(
        {"name": f"model{number}", "version": "v1", "adapters": ADAPTERS}
        for number in range(MODEL_COUNT)
    )
    running_and_waiting = 7 + index % 5, index % 3
    announcement = Announcement(
        f"t{index}",
        "i",
        1,
        "127.1.1.1:9000",
        "engine",
        8,
        models,
        SERVICES,
        *running_and_waiting,
    )
    return FakeTarget(announcement)


def build_network(domains, members, targets=30, seed=1):
    """Return a network of failure domains with the same number of members each."""
    network = FakeNetwork(seed)
    names = [f"region{index % REGION_COUNT}-fd{index:02d}" for index in range(domains)]
    seeds = tuple(f"vm-{name}-00:1" for name in names[:SEED_NODES])
    target_table = tuple(make_target(index) for index in range(targets))
    for name in names:
        for index in range(members):
            network.add(f"vm-{name}-{index:02d}", name, seeds, targets=target_table)
    return network


def measure_network(network, ticks):
    """Run `ticks` heartbeats and return their `NetworkCosts`."""
    network.bytes.clear()
    network.messages.clear()
    network.tick(ticks)
    nodes = [*network.nodes.values()]
    relays = {node.name for node in nodes if node.heartbeater.is_relay()}
    bytes_per_tick = {
        node.name: sum(
            network.bytes[node.name, direction] for direction in ("in", "out")
        )
        / ticks
        for node in nodes
    }
    messages_per_tick = {
        node.name: network.messages[node.name] / ticks for node in nodes
    }
    ages = sorted(
        summary.age_ms for node in nodes for summary in node.members.fresh_summaries()
    )
    non_relays = {*bytes_per_tick} - relays
    return NetworkCosts(
        mean(bytes_per_tick[name] for name in non_relays),
        mean(bytes_per_tick[name] for name in relays),
        max(bytes_per_tick.values()),
        mean(messages_per_tick[name] for name in non_relays),
        mean(messages_per_tick[name] for name in relays),
        ages[len(ages) // 2] if ages else 0,
        ages[-1] if ages else 0,
    )


def mean(values):
    """Return the mean, or 0 if there are no values."""
    values = [*values]
    return round(sum(values) / len(values), 1) if values else 0.0


def make_sheet(callers, number=1):
    """Return a sheet with the given number of callers; `number` changes one row."""
    header = b"record,name,key_sha256,home,regions,uses,weighs,concurrency\r\n"
    rows = [f"plan,{number},,,,,,\r\n".encode(), header]
    for index in range(callers):
        key = f"{index * 7919**17:064x}"[-64:]
        concurrency = number if index == number % callers else 200
        row = (
            f"caller,account-{index:03d},{key},region{index % REGION_COUNT},"
            f"region1 region2,model1+* model2 filing lookup,latency,{concurrency}\r\n"
        )
        rows.append(row.encode())
    return b"".join(rows)
