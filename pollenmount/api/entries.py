"""The directory for clients: which entry VMs to use, best first."""

__all__ = ["list_entries"]

TTL_MS = 5000
OWN_DOMAIN_WEIGHT = 100
OWN_REGION_WEIGHT = 50
OTHER_WEIGHT = 1


def list_entries(members, region, failure_domain, allowed=None):
    """Return the document of `GET /v1/entries`.

    `members` are those in reach; those that stop or have no plan are left out, as are
    those outside the `allowed` regions (None: all).
    """
    usable = [
        member
        for member in members
        if not member.stopping
        and member.plan_number
        and (allowed is None or member.region in allowed)
    ]

    def weight(member):
        if member.failure_domain == failure_domain:
            return OWN_DOMAIN_WEIGHT
        return OWN_REGION_WEIGHT if member.region == region else OTHER_WEIGHT

    usable.sort(key=lambda member: (-weight(member), member.name))
    entries = [
        {
            "name": member.name,
            "region": member.region,
            "failure_domain": member.failure_domain,
            "address": member.callers,
            "weight": weight(member),
        }
        for member in usable
    ]
    return {"entries": entries, "ttl_ms": TTL_MS}
