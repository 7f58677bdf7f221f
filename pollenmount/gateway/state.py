"""State of one VM as a JSON document, for operators.

It is served on the metrics port and contains no data from requests.
"""

import json

__all__ = ["STATE_PATH", "state_document"]

STATE_PATH = "/v1/state"


def state_document(node):
    """Return the encoded state document of a `GatewayNode`."""
    document = {
        "vm": vm_document(node),
        "routes": [route_document(route) for route in routes_in_force(node)],
        "evacuations": {
            "revision": node.fleet.evacuations.revision,
            "failure_domains": list(node.fleet.evacuations.failure_domains),
        },
        "members": [member_document(member) for member in node.fleet.members.live()],
        "targets": [
            target_document(target, node.clock.now())
            for _, target in sorted(node.fleet.targets.by_id.items())
        ],
        "quotas": [*node.quotas.describe()] if node.quotas else [],
    }
    return json.dumps(document).encode()


def vm_document(node):
    """Return the identity and status of the VM."""
    return {
        "name": node.settings.name,
        "region": node.settings.region,
        "failure_domain": node.settings.failure_domain,
        "incarnation": node.incarnation,
        "plan": node.store.version,
        "ready": node.is_ready(),
        "stopping": node.stopping,
    }


def routes_in_force(node):
    """Return the routes of the plan in force, () without a plan."""
    return node.store.plan.routes if node.store.plan else ()


def route_document(route):
    """Return the fields of one route; times are in milliseconds."""
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "repeat": str(route.retry_mode),
        "timeout_ms": route.timeout_ms,
        "target_ms": route.slo_ms,
        "attempts": route.attempts,
        "homes": list(route.homes),
        "services": {split.service: split.weight for split in route.splits},
    }


def member_document(member):
    """Return the fields of one member."""
    return {
        "name": member.name,
        "role": member.role,
        "failure_domain": member.failure_domain,
        "plan": member.plan,
        "ready": member.ready,
        "stopping": member.stopping,
    }


def target_document(target, now):
    """Return the fields of one target; `age_ms` is the age of its last heartbeat."""
    record = target.record
    return {
        "name": target.id,
        "service": record.service,
        "address": record.address,
        "failure_domain": record.failure_domain,
        "slots": record.slots,
        "draining": record.draining,
        "cold_ms": max(0, target.cold_until - now),
        "age_ms": now - target.heard_at,
        "vouched": target.is_heard,
    }
