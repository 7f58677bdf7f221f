"""Timeout of the first byte of an attempt.

A stream or an idempotent service call has to start within 10 s. Other responses may
legitimately take until the deadline and must not be aborted earlier.
"""

from types import SimpleNamespace

import pytest

from pollenmount.clock import ManualClock
from pollenmount.plans.plan import Model, Service
from pollenmount.routing.attempt import Attempter
from pollenmount.routing.request import Call, ModelRoute, ServiceRoute

DEADLINE_MS = 30_000
MODEL = ModelRoute(Model("draft", "v1", (), ("west",), "interactive", False), "")


def service(repeat):
    paths = ("/x",)
    return ServiceRoute(Service("s", ("GET",), paths, ("west",), repeat, "interactive"))


@pytest.mark.parametrize(
    ("route", "stream", "expected"),
    [
        (MODEL, True, 10_000),
        (MODEL, False, DEADLINE_MS),
        (service("idempotent"), False, 10_000),
        (service("once"), False, DEADLINE_MS),
    ],
)
def test_first_byte_timeout(route, stream, expected):
    timeouts = []
    upstream = SimpleNamespace(open=lambda *args: timeouts.append(args[5]))
    attempter = Attempter(upstream, ManualClock(), "west", "key", None, None)
    call = Call(
        *("id", None, route, "POST", "/x", (), b"", "interactive"),
        *(DEADLINE_MS, "", stream),
    )
    attempter.open("a", "POST", "/x", {}, call, False)
    assert timeouts == [expected]
