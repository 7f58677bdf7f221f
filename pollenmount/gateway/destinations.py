"""Makes the destination of an attempt from the choice of a target or a region."""

import zlib

from pollenmount.gateway.attempt import AttemptDestination
from pollenmount.gateway.choose import TargetChoice
from pollenmount.gateway.hop import encode_hop
from pollenmount.log import get_logger

__all__ = ["Destinations"]

# The VM that sends a hop counts the runs of the call; the receiving VM does not know of
# the others.
MAX_RUNS_PER_HOP = 1

logger = get_logger("calls")


class Destinations:
    """Destinations from the tables of this VM, in `context`."""

    def __init__(self, context, clock):
        self.context = context
        self.clock = clock

    def make(self, call, progress, chosen):
        """Return the `AttemptDestination` for a `TargetChoice` or `RegionChoice`."""
        if isinstance(chosen, TargetChoice):
            self.log_cold_target(call, chosen.target_id)
            return self.of_target(chosen.target_id)
        return self.of_hop(call, progress, chosen.region)

    def log_cold_target(self, call, id_):
        """Log that a target gets a request while it is cold, and why from this VM."""
        target, now = self.context.fleet.targets.by_id[id_], self.clock.now()
        if target.may_be_cold(now):
            logger.info(
                "cold target used",
                extra={
                    "request": call.id,
                    "target": id_,
                    "born": target.record.born,
                    "sequence": target.record.sequence,
                    "cold_left_ms": max(0, target.cold_until - now),
                    "doubted": target.is_doubted(now),
                    "senders": target.cold_senders,
                },
            )

    def of_target(self, id_):
        """Return the destination for a target of this region."""
        target = self.context.fleet.targets.by_id[id_]
        record = target.record
        self.context.breakers.start_probe(id_, record.born)
        if any(self.context.rate_limits(target)):
            self.context.rates.record(id_)
        region = self.context.settings.region
        version = record.version
        if not self.context.is_version_known(target):
            version = unknown_version(record)
        return AttemptDestination(
            id_, record.address, record.born, region, id_, version=version
        )

    def of_hop(self, call, progress, region):
        """Return the destination for a hop: the least loaded entry VM of a region."""
        members = self.context.hop_candidates(region, progress.tried)
        loads = self.context.loads.local

        def load_key(member):
            # The hash spreads calls over VMs with the same load.
            tie_break = zlib.crc32(f"{call.id} {member.name}".encode())
            local = loads.get(member.name)
            return (local.requests if local else 0), tie_break

        member = min(members, key=load_key)
        self.context.breakers.start_probe(member.name, member.incarnation)
        remaining_ms = max(1, call.deadline - self.clock.now())
        header = encode_hop(call, remaining_ms, MAX_RUNS_PER_HOP, progress.version)
        return AttemptDestination(
            member.name, member.hop_address, member.incarnation, region, "", (header,)
        )


def unknown_version(record):
    """Return a version that no target has, so that a stream goes on nowhere else."""
    return f"(unknown) {record.version} {record.id} {record.born}"
