"""Failure domains of the size that decides the design, on the fake network."""

from typing import NamedTuple

from bench.network import FakeNetwork, FakeTarget
from pollenmount.targets.table import Announcement

__all__ = ["Measured", "build", "measure", "sheet"]

SEEDS = 3
REGIONS = 7
MODELS = 4
SERVICES = ("filing", "lookup", "contact")
ADAPTERS = ["custody", "maintenance"]


class Measured(NamedTuple):
    """Payload in and out, and messages sent, a second and node, in mean and most."""

    plain_bytes: float
    relay_bytes: float
    most_bytes: float
    plain_messages: float
    relay_messages: float
    age_ms_median: int
    age_ms_most: int


def make_target(index):
    """Return a target with all models and services loaded, and some load."""
    models = tuple(
        {"name": f"model{number}", "version": "v1", "adapters": ADAPTERS}
        for number in range(MODELS)
    )
    load = 7 + index % 5, index % 3
    said = Announcement(
        f"t{index}", "i", 1, "127.1.1.1:9000", "engine", 8, models, SERVICES, *load
    )
    return FakeTarget(said)


def build(domains, members, targets=30, seed=1):
    """Return a network of so many failure domains of so many members each."""
    network = FakeNetwork(seed)
    names = [f"region{index % REGIONS}-fd{index:02d}" for index in range(domains)]
    seeds = tuple(f"vm-{name}-00:1" for name in names[:SEEDS])
    offered = tuple(make_target(index) for index in range(targets))
    for name in names:
        for index in range(members):
            network.add(f"vm-{name}-{index:02d}", name, seeds, targets=offered)
    return network


def measure(network, ticks):
    """Run for some heartbeats and return what was `Measured`."""
    network.bytes.clear()
    network.messages.clear()
    network.tick(ticks)
    nodes = [*network.nodes.values()]
    relays = {node.name for node in nodes if node.heartbeater.is_relay()}
    each = {
        node.name: sum(network.bytes[node.name, way] for way in ("in", "out")) / ticks
        for node in nodes
    }
    messages = {node.name: network.messages[node.name] / ticks for node in nodes}
    ages = sorted(
        summary.age_ms for node in nodes for summary in node.members.fresh_summaries()
    )
    plain = {*each} - relays
    return Measured(
        mean(each[name] for name in plain),
        mean(each[name] for name in relays),
        max(each.values()),
        mean(messages[name] for name in plain),
        mean(messages[name] for name in relays),
        ages[len(ages) // 2] if ages else 0,
        ages[-1] if ages else 0,
    )


def mean(values):
    """Return the mean, 0 of none."""
    values = [*values]
    return round(sum(values) / len(values), 1) if values else 0.0


def sheet(callers, number=1):
    """Return a sheet of so many callers; `number` changes one of its rows."""
    header = b"record,name,key_sha256,home,regions,uses,weighs,concurrency\r\n"
    rows = [f"plan,{number},,,,,,\r\n".encode(), header]
    for index in range(callers):
        key = f"{index * 7919**17:064x}"[-64:]
        share = number if index == number % callers else 200
        row = (
            f"caller,account-{index:03d},{key},region{index % REGIONS},"
            f"region1 region2,model1+* model2 filing lookup,latency,{share}\r\n"
        )
        rows.append(row.encode())
    return b"".join(rows)
