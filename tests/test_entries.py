"""The entry VMs listed for a caller, and their order."""

from types import SimpleNamespace

import pytest

from pollenmount.api.callers import CallersApi
from pollenmount.api.entries import list_entries
from pollenmount.members.table import Member


def member(name, region, domain, plan=1, stopping=False):
    addresses = (f"{name}:80", f"{name}:81", f"{name}:82")
    return Member(name, "i", region, domain, *addresses, plan, stopping)


MEMBERS = (
    member("w1", "west", "west-a"),
    member("w2", "west", "west-b"),
    member("w3", "west", "west-a", stopping=True),
    member("e1", "east", "east-a"),
    member("e2", "east", "east-a", plan=0),
    member("s1", "south", "south-a"),
)


@pytest.mark.parametrize(
    ("home", "asked", "allowed", "expected"),
    [
        ("west", "west-a", ("west",), [("w1", 100), ("w2", 50)]),
        ("west", "west-b", ("west",), [("w2", 100), ("w1", 50)]),
        ("west", "east-a", ("west",), [("w1", 100), ("w2", 100)]),
        ("east", "south-a", ("east", "west"), [("e1", 100), ("w1", 1), ("w2", 1)]),
        ("west", "west-a", ("north",), []),
        ("south", "south-a", (), [("s1", 100), ("e1", 1), ("w1", 1), ("w2", 1)]),
    ],
)
def test_entries_and_weights(home, asked, allowed, expected):
    document = list_entries(MEMBERS, home, asked, allowed)
    told = [(entry["name"], entry["weight"]) for entry in document["entries"]]
    assert told == expected
    assert document["ttl_ms"] == 5000


def test_vm_without_entries_refuses():
    refused = []
    kernel = SimpleNamespace(
        get=lambda name: SimpleNamespace(live=lambda: ()),
        settings=SimpleNamespace(failure_domain="west-a"),
    )
    api = CallersApi(kernel)
    api.refuse = lambda refusal, tenant: refused.append((refusal.kind, tenant))
    api.entries(SimpleNamespace(name="branch", home="west", regions=("west",)))
    assert refused == [("no_target", "branch")]
