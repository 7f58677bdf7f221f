"""What a control VM keeps about one linked member, and what that member is sent."""

from functools import singledispatch

from pollenmount.fleet.messages import (
    EvacuationsChanged,
    LinkHello,
    MemberDown,
    MemberUp,
    PartsServed,
    PromptBroke,
    RequestsAnswered,
    RequestsCrashed,
    RoutesChanged,
    TargetDoubted,
    TargetGone,
    TargetLeaving,
    TargetLimited,
    TargetRefused,
    TargetSeen,
    TargetSilent,
    TrialBegan,
)
from pollenmount.fleet.records import CONTROL, ENTRY

__all__ = ["Session", "concerns"]


class Session:
    """A linked member: its channel, its newest record, and what it has been sent.

    `is_primary` is whether an entry VM uses this link for the load of targets, the
    capacity of other regions and the VMs to hop to, and whether a control VM needs
    plans and evacuations over it. `hop_peers` are the VMs of other
    regions that it was sent, by name, and `routes_revision` is the newest plan's.
    `behind_since` is since when it has lacked a plan that this link has not sent.
    """

    def __init__(self, hello: LinkHello, channel):
        self.channel = channel
        self.record = hello.member
        self.is_primary = False
        self.hop_peers = {}
        self.routes_revision = 0
        self.behind_since = None

    @property
    def name(self):
        """Return the member's name."""
        return self.record.name

    @property
    def is_entry(self):
        """Return whether the member is an entry VM."""
        return self.record.role == ENTRY

    @property
    def is_control(self):
        """Return whether the member is a control VM."""
        return self.record.role == CONTROL

    def set_primary(self, is_primary):
        """Note whether this is the member's primary link; return whether it changed."""
        if is_primary == self.is_primary:
            return False
        self.is_primary = is_primary
        if not is_primary:
            self.send_hop_peers({})
        return True

    def send_hop_peers(self, wanted):
        """Send the differences between `wanted` and the VMs that the member knows."""
        for name, member in self.hop_peers.items():
            if name not in wanted:
                self.channel.push(MemberDown(name, member.incarnation))
        for name, member in wanted.items():
            if self.hop_peers.get(name) != member:
                self.channel.push(MemberUp(member))
        self.hop_peers = dict(wanted)


def concerns(message, session, fleet):
    """Return whether a member must hear of a change of the fleet at once."""
    if session.is_control:
        is_order = isinstance(message, RoutesChanged | EvacuationsChanged)
        return is_order and session.is_primary
    return concerns_entry(message, session, fleet)


@singledispatch
def concerns_entry(message, session, fleet):
    """Return whether an entry VM must hear of a change of the fleet at once."""
    raise TypeError(f"no rule for {type(message).__name__}")


@concerns_entry.register(EvacuationsChanged)
@concerns_entry.register(PromptBroke)
@concerns_entry.register(PartsServed)
@concerns_entry.register(RequestsCrashed)
@concerns_entry.register(RequestsAnswered)
@concerns_entry.register(TrialBegan)
def _(message, session, fleet):
    return True


@concerns_entry.register
def _(message: RoutesChanged, session, fleet):
    # The other links bring it later, unless the member has got it by then.
    return session.is_primary


@concerns_entry.register
def _(message: MemberUp, session, fleet):
    # VMs for hops are sent by `Session.send_hop_peers`.
    return message.member.role == CONTROL


@concerns_entry.register
def _(message: MemberDown, session, fleet):
    member = fleet.members.get(message.name)
    return member is not None and member.role == CONTROL


@concerns_entry.register
def _(message: TargetSeen, session, fleet):
    return fleet.region_of_target(message.target.id) == session.record.region


@concerns_entry.register(TargetDoubted)
@concerns_entry.register(TargetSilent)
@concerns_entry.register(TargetGone)
@concerns_entry.register(TargetLeaving)
@concerns_entry.register(TargetLimited)
@concerns_entry.register(TargetRefused)
def _(message, session, fleet):
    return fleet.region_of_target(message.id) in (None, session.record.region)
