"""Plans of routes of the soak test, and changes of what they put into use."""

HOST = "soak.example"
REGIONS = ("west", "east", "south")
# Kind, attempts and service of each route.
ROUTES = {
    "once": ("non_idempotent", 2, "desk"),
    "read": ("idempotent", 2, "desk"),
    "stream": ("streaming", 2, "model"),
}
PLANNED_ROUTES = ROUTES | {
    "long": ("streaming", 2, "model"),
    "upload": ("idempotent", 2, "desk"),
}
TIMEOUT_MS = 4000
LONG_TIMEOUT_MS = 12_000
SLO_MS = 500
EXTRA_ROUTES = 300
MAX_CHANGES = 3
SERVICES = ("desk", "model")


def make_document(version, routes=ROUTES, home=""):
    """Return the document of the plan that all changes start from.

    Long streams are bound to the region `home` if it is given.
    """
    documents = [
        make_route(name, *values, resumable=name == "stream")
        for name, values in routes.items()
    ]
    for route in documents:
        if home and route["name"] == "long":
            route["home_regions"] = [home]
    return {
        "version": version,
        "routes": documents,
        "services": [{"name": "desk", "max_conns": 400}, {"name": "model"}],
    }


def make_route(name, kind, attempts, service, resumable=False):
    """Return the document of one route."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": LONG_TIMEOUT_MS if name == "long" else TIMEOUT_MS,
        "slo_ms": SLO_MS,
        "attempts": attempts,
        "resumable": resumable,
        "backend": service,
    }


def vary_document(document, random):
    """Apply up to `MAX_CHANGES` random changes to a plan's document; return it."""
    for change in random.sample(CHANGES, random.randint(0, MAX_CHANGES)):
        change(document, random)
    return document


def move_route(document, random):
    """Let another service answer a route."""
    random.choice(document["routes"])["backend"] = random.choice(SERVICES)


def split_route(document, random):
    """Split a route's requests between both services."""
    route = random.choice(document["routes"])
    route["split"] = [
        {"backend": service, "weight": random.randint(1, 9)} for service in SERVICES
    ]


def change_timeouts(document, random):
    """Shorten or lengthen the time limit of each route."""
    factor = random.choice((0.7, 1, 2))
    for route in document["routes"]:
        route["timeout_ms"] = int(factor * route["timeout_ms"])


def change_attempts(document, random):
    """Change how often a route's requests may run, and whether streams resume."""
    route = random.choice(document["routes"])
    route["attempts"] = random.randint(1, 3)
    route["resumable"] = route["kind"] == "streaming" and random.random() < 0.5


def set_homes(document, random):
    """Bind a route to one or two regions."""
    regions = random.sample(REGIONS, random.randint(1, 2))
    random.choice(document["routes"])["home_regions"] = regions


def add_routes(document, random):
    """Add hundreds of routes that no caller uses."""
    document["routes"] += [
        make_route(f"extra-{number}", "idempotent", 1, random.choice(SERVICES))
        for number in range(EXTRA_ROUTES)
    ]


def remove_route(document, random):
    """Remove a route."""
    document["routes"].remove(random.choice(document["routes"]))


def limit_targets(document, random):
    """Limit the connections of targets, and the requests to cold ones."""
    for service in document["services"]:
        service["max_conns"] = random.choice((0, 8, 400))
        service["warmup_per_s"] = random.choice((0, 1, 5))


def limit_callers(document, random):
    """Set limits on callers: sizes and time-outs."""
    document["limits"] = {
        "max_body_bytes": random.choice((2, 4)) << 20,
        "header_timeout_ms": random.choice((400, 3000)),
        "idle_timeout_ms": random.choice((200, 1000, 15_000)),
    }


CHANGES = (
    *(move_route, split_route, change_timeouts, change_attempts, set_homes),
    *(add_routes, remove_route, limit_targets, limit_callers),
)
