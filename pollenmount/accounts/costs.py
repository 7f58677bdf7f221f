"""What the requests of one account cost at this VM."""

import collections

__all__ = ["AccountCosts"]

# Cost admitted longer ago than this is part of the level that a control VM has sent: it
# is reported and answered every 100 ms each, and the rest is for the way.
REPORT_LAG_MS = 250


class AccountCosts:
    """Totals since the start, and the admitted cost that no level includes yet.

    `spent` is the admitted cost less refunds, and `asked` that of all requests.
    """

    def __init__(self):
        self.spent = 0
        self.asked = 0
        self.recent = collections.deque()

    def spend(self, cost, now):
        """Add the cost of an admitted request."""
        self.spent += cost
        self.recent.append((now, cost))

    def refund(self, cost):
        """Take back the cost of a request that did not run."""
        self.spent = max(0, self.spent - cost)

    def unreported(self, until):
        """Return the cost that is not included in a level received at `until`."""
        while self.recent and self.recent[0][0] < until - REPORT_LAG_MS:
            self.recent.popleft()
        return sum(cost for _, cost in self.recent)
