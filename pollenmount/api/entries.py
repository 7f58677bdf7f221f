"""The list of entry VMs that clients may use, in order of preference."""

__all__ = ["list_entries"]

ENTRIES_TTL_MS = 5000
PREFERRED_WEIGHT = 100
HOME_REGION_WEIGHT = 50
OTHER_REGION_WEIGHT = 1


def list_entries(members, home, failure_domain, allowed=()):
    """Return the document of `GET /v1/entries`.

    `members` are the reachable VMs. Those that are stopping, have no plan or are
    outside the `allowed` regions (empty: all regions) are left out. VMs of the `home`
    region come first, so that a caller returns there once it can; among these, VMs of
    `failure_domain`, the domain of the VM that was asked.
    """
    eligible = [
        member
        for member in members
        if not member.stopping
        and member.plan_number
        and (not allowed or member.region in allowed)
    ]
    domains = {(member.region, member.failure_domain) for member in eligible}
    domain_is_at_home = (home, failure_domain) in domains

    def weight(member):
        if member.region != home:
            return OTHER_REGION_WEIGHT
        is_preferred = not domain_is_at_home or member.failure_domain == failure_domain
        return PREFERRED_WEIGHT if is_preferred else HOME_REGION_WEIGHT

    def sort_key(member):
        region_rank = allowed.index(member.region) if allowed else 0
        return -weight(member), region_rank, member.name

    entries = [
        {
            "name": member.name,
            "region": member.region,
            "failure_domain": member.failure_domain,
            "address": member.callers,
            "weight": weight(member),
        }
        for member in sorted(eligible, key=sort_key)
    ]
    return {"entries": entries, "ttl_ms": ENTRIES_TTL_MS}
