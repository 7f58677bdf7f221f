"""The plan of routes in force on this VM; its version never decreases."""

from pollenmount.accounts.account import digest_key, index_accounts
from pollenmount.errors import SheetError
from pollenmount.log import get_logger
from pollenmount.routes.plan import DEFAULT_LIMITS, get_route, index_gaps, index_routes

__all__ = ["RoutesStore"]

logger = get_logger("routes")


class RoutesStore:
    """Holds the plan in force, its routes by host and its accounts by key digest.

    `decode` parses a document into a `RoutePlan`, or raises `SheetError`.
    """

    def __init__(self, decode):
        self.decode = decode
        self.plan = None
        self.by_host = {}
        self.by_key_digest = {}
        self.gaps = {}
        self.gaps_plan = None

    @property
    def version(self):
        """Return the version in force, 0 if there is none yet."""
        return self.plan.version if self.plan else 0

    @property
    def limits(self):
        """Return the `ClientLimits` in force."""
        return self.plan.limits if self.plan else DEFAULT_LIMITS

    @property
    def has_accounts(self):
        """Return whether callers have accounts."""
        return bool(self.plan and self.plan.accounts)

    def max_gap_ms(self, service):
        """Return the shortest pause that routes to a service permit, 0 for no limit."""
        if self.gaps_plan is not self.plan:
            self.gaps_plan = self.plan
            self.gaps = index_gaps(self.plan.routes)
        return self.gaps.get(service, 0)

    def update(self, version, document):
        """Activate a plan if it is newer and valid; return whether it was activated."""
        if version <= self.version:
            return False
        try:
            plan = self.decode(document)
        except SheetError as error:
            problem = {"version": version, "problem": str(error)}
            logger.error("can't decode the plan", extra=problem)
            return False
        self.by_host = index_routes(plan.routes)
        self.by_key_digest = index_accounts(plan.accounts)
        self.plan = plan
        logger.info("plan in force", extra={"plan": version})
        return True

    def find_route(self, host, path):
        """Return the route for a request, or None."""
        return get_route(self.by_host, host, path)

    def find_account(self, key):
        """Return the `Account` that has a key, or None."""
        return self.by_key_digest.get(digest_key(key)) if key else None
