"""The plan of routes in force on this VM. It only ever moves forward."""

from pollenmount.errors import SheetError
from pollenmount.log import get_logger
from pollenmount.routes.plan import DEFAULT_LIMITS, get_route, index_routes

__all__ = ["RoutesStore"]

logger = get_logger("routes")


class RoutesStore:
    """Holds the plan in force and the look-up of its routes.

    `decode` turns a document into a `RoutePlan`, or raises `SheetError`.
    """

    def __init__(self, decode):
        self.decode = decode
        self.plan = None
        self.by_host = {}

    @property
    def version(self):
        """Return the version in force, 0 before the first."""
        return self.plan.version if self.plan else 0

    @property
    def limits(self):
        """Return what callers may send."""
        return self.plan.limits if self.plan else DEFAULT_LIMITS

    def update(self, version, document):
        """Put a plan in force if it is newer; return whether it was."""
        if version <= self.version:
            return False
        try:
            plan = self.decode(document)
        except SheetError as error:
            problem = {"version": version, "problem": str(error)}
            logger.error("plan not readable here", extra=problem)
            return False
        self.by_host = index_routes(plan.routes)
        self.plan = plan
        logger.info("plan in force", extra={"plan": version})
        return True

    def find_route(self, host, path):
        """Return the route of a request, or None."""
        return get_route(self.by_host, host, path)
