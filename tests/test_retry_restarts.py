"""The retry budget of all entry VMs when some start again."""

import pytest

from pollenmount.clock import ManualClock
from pollenmount.fleet.fleet import Fleet
from pollenmount.fleet.messages import EntryCounts
from pollenmount.gateway.retry_policy import make_budget
from tests.gateway_harness import BOUNDS, REGIONS, make_settings

VMS = 8
REQUESTS = 20
LIMITS = BOUNDS.retry_limits
START_MS = 500


class Site:
    """Entry VMs that use all of their budgets, and start again."""

    def __init__(self):
        self.clock = ManualClock(1_000_000)
        self.retries = []
        self.requests = []
        self.budgets = [self.start() for _ in range(VMS)]
        self.clock.advance(LIMITS.window_ms)

    def start(self):
        """Return the budget of a VM that starts and is told the number of VMs."""
        fleet = Fleet(self.clock, None, REGIONS)
        fleet.handle(EntryCounts({"west": VMS}, True, True), "c")
        return make_budget(make_settings(), fleet, self.clock)

    def serve(self, requests=REQUESTS):
        """Let each VM get requests, and retry for as often as it may."""
        for budget in self.budgets:
            for _ in range(requests):
                budget.record_request("desk")
                self.requests.append(self.clock.now())
            while budget.try_acquire("desk"):
                self.retries.append(self.clock.now())

    def restart(self, count):
        """Let VMs be killed and start again."""
        self.clock.advance(START_MS)
        self.budgets[:count] = [self.start() for _ in range(count)]

    def is_within_bound(self):
        """Return whether the retries of the last window are within the bound."""
        since = self.clock.now() - LIMITS.window_ms
        requests, retries = (
            sum(at > since for at in times) for times in (self.requests, self.retries)
        )
        return retries <= LIMITS.ratio * requests + LIMITS.slack


# Each VM that started again had its whole part of the slack once more.
@pytest.mark.parametrize("count", [VMS // 2, VMS])
def test_vms_that_start_again_stay_within_the_bound(count):
    site = Site()
    site.serve()
    for _ in range(3):
        site.restart(count)
        site.serve()
        assert site.is_within_bound()


def test_a_vm_that_started_has_its_share_of_the_requests_and_later_of_the_slack():
    site = Site()
    site.restart(VMS)
    site.serve()
    assert 0 < len(site.retries) <= LIMITS.ratio * VMS * REQUESTS
    site.clock.advance(LIMITS.window_ms)
    site.retries.clear()
    site.serve(requests=0)
    assert len(site.retries) >= LIMITS.slack / 2
