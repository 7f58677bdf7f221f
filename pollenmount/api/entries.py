"""The directory for clients: which entry VMs to use, best first."""

__all__ = ["list_entries"]

TTL_MS = 5000
NEAR_WEIGHT = 100
HOME_WEIGHT = 50
AWAY_WEIGHT = 1


def list_entries(members, home, failure_domain, allowed=()):
    """Return the document of `GET /v1/entries`.

    `members` are those in reach; those that stop or have no plan are left out, as are
    those outside the `allowed` regions (none named: all). VMs of the `home` region come
    first, so that a caller returns home once it can; among them those of the
    `failure_domain` that was asked.
    """
    usable = [
        member
        for member in members
        if not member.stopping
        and member.plan_number
        and (not allowed or member.region in allowed)
    ]
    places = {(member.region, member.failure_domain) for member in usable}
    asked_at_home = (home, failure_domain) in places

    def weight(member):
        if member.region != home:
            return AWAY_WEIGHT
        is_near = not asked_at_home or member.failure_domain == failure_domain
        return NEAR_WEIGHT if is_near else HOME_WEIGHT

    def preference(member):
        place = allowed.index(member.region) if allowed else 0
        return -weight(member), place, member.name

    entries = [
        {
            "name": member.name,
            "region": member.region,
            "failure_domain": member.failure_domain,
            "address": member.callers,
            "weight": weight(member),
        }
        for member in sorted(usable, key=preference)
    ]
    return {"entries": entries, "ttl_ms": TTL_MS}
