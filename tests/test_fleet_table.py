"""Tables of targets and members that are reported by several sources."""

from pollenmount.clock import ManualClock
from pollenmount.fleet.entry_counter import EntryCounter
from pollenmount.fleet.members import MemberTable
from pollenmount.fleet.messages import (
    EntryCounts,
    EvacuationsChanged,
    MemberDown,
    MemberUp,
    TargetGone,
    TargetSeen,
    TargetSilent,
)
from pollenmount.fleet.records import ENTRY, MemberRecord, TargetRecord
from pollenmount.fleet.targets import TargetTable
from tests.gateway_harness import EntryHarness

RECORD = TargetRecord("t", 100, 5, "desk", "1:1", "west-a", "v", 6, False, 0)
MEMBER = MemberRecord(
    *("m", "i1", 1, 1, ENTRY, "west", "west-a", "a:1", "a:2", "", "", 1, True, False)
)


class Targets:
    """A `TargetTable`, and the changes that it notified."""

    def __init__(self, **options):
        self.clock = ManualClock(1000)
        self.notified = []
        self.table = TargetTable(
            self.clock, lambda m, s: self.notified.append(m), **options
        )

    def see(self, source="c", **changes):
        return self.table.handle_seen(TargetSeen(RECORD._replace(**changes), 0), source)

    def get(self):
        return self.table.by_id.get("t")


def test_the_newest_record_wins_whichever_source_it_comes_from():
    targets = Targets()
    targets.see(sequence=9, draining=True)
    assert not targets.see("d", sequence=8)
    assert targets.get().record.draining


def test_a_new_incarnation_with_the_same_id_wins_by_its_start_time():
    targets = Targets()
    targets.see(sequence=9, address="1:1")
    assert targets.see(born=200, sequence=1, address="2:2")
    assert not targets.see(sequence=10, address="1:1")
    assert targets.get().record.address == "2:2"


def test_a_late_heartbeat_does_not_revive_a_target_that_left():
    targets = Targets()
    targets.see()
    targets.table.handle_leave("t", "c")
    assert not targets.see(sequence=6)
    assert targets.get() is None
    assert targets.see(born=200, sequence=1)


def test_a_leave_of_an_unknown_target_holds_for_late_heartbeats():
    targets = Targets()
    targets.table.handle_leave("t", "c")
    assert not targets.see()
    targets.clock.advance(11_000)
    assert targets.see()


def test_a_leave_of_an_old_incarnation_does_not_remove_the_new_one():
    targets = Targets()
    targets.see(born=200)
    targets.table.handle_gone(TargetGone("t", 100), "c")
    assert targets.get() is not None


def test_only_changes_are_notified_but_each_newer_heartbeat_is_reported():
    targets = Targets()
    assert targets.see(sequence=1)
    assert targets.see(sequence=2)
    assert len(targets.notified) == 1
    targets.see(sequence=3, draining=True)
    targets.see(sequence=4, draining=True, cold_ms=3000)
    assert len(targets.notified) == 3


def test_a_target_is_silent_once_no_source_hears_it():
    targets = Targets()
    targets.see("c")
    targets.see("d")
    targets.table.handle_silent(TargetSilent("t"), "c")
    assert targets.get().is_heard
    targets.table.handle_silent(TargetSilent("t"), "d")
    assert not targets.get().is_heard
    targets.see("d", sequence=6)
    assert targets.get().is_heard


def test_a_source_with_an_older_record_hears_the_target_too():
    """An entry VM that knew more than its next control VM took the target for silent.

    Later heartbeats change nothing, so that control VM had no cause to tell of them.
    """
    targets = Targets(gets_heartbeats=False)
    targets.see("c", sequence=9)
    targets.table.handle_silent(TargetSilent("t"), "c")
    targets.see("d", sequence=8)
    assert targets.get().is_heard
    assert targets.get().record.sequence == 9
    targets.see("d", born=99, sequence=10)
    targets.table.handle_silent(TargetSilent("t"), "d")
    assert not targets.get().is_heard


def test_a_control_vm_with_an_older_record_does_not_hear_the_target():
    """After a cut, its older report kept a target that was lost heard for ever."""
    targets = Targets(gets_heartbeats=True)
    targets.see("direct", sequence=9)
    targets.see("c", sequence=8)
    targets.clock.advance(4300)
    assert targets.table.sweep(4200, "direct") == [TargetSilent("t")]
    assert not targets.get().is_heard
    assert targets.notified[-1] == TargetSilent("t")
    targets.see("c", sequence=10)
    assert targets.get().heard_by == {"c"}


def test_a_control_vm_does_not_rely_on_a_source_to_report_silence():
    """One that missed the move of a target to another source heard it for ever."""
    targets = Targets(gets_heartbeats=True)
    targets.see("c", sequence=8)
    targets.clock.advance(9200)
    targets.table.sweep(4200, "direct")
    assert targets.get().heard_by == {"c"}
    targets.see("c", sequence=9)
    targets.clock.advance(9200)
    targets.table.sweep(4200, "direct")
    assert targets.get().heard_by == {"c"}
    targets.clock.advance(50)
    assert targets.table.sweep(4200, "direct") == []
    assert not targets.get().is_heard
    assert targets.notified[-1] == TargetSilent("t")
    targets.see("d", sequence=8)
    assert not targets.get().is_heard
    targets.see("d", sequence=10)
    assert targets.get().heard_by == {"d"}


def test_an_entry_vm_hears_a_target_until_its_sources_report_silence():
    """It gets changes only, so a target without one for long is not silent."""
    targets = Targets(gets_heartbeats=False)
    targets.see("c")
    targets.clock.advance(600_000)
    targets.table.sweep(0)
    assert targets.get().is_heard


def test_a_snapshot_tells_which_targets_are_not_heard():
    targets = Targets()
    targets.see("c")
    targets.table.handle_silent(TargetSilent("t"), "c")
    other = Targets()
    for message in targets.table.snapshot():
        kind = type(message).__name__
        handler = {"TargetSeen": "handle_seen", "TargetSilent": "handle_silent"}[kind]
        getattr(other.table, handler)(message, "c")
    assert not other.get().is_heard


def test_targets_survive_a_restart_of_the_control_vms():
    targets = Targets()
    targets.see()
    targets.table.forget_source("c")
    targets.table.sweep(0)
    targets.clock.advance(20_000)
    targets.table.sweep(0)
    assert targets.get() is not None
    targets.clock.advance(60_000)
    targets.table.sweep(0)
    assert targets.get() is None


def test_an_entry_vm_keeps_a_target_for_a_while_after_a_long_time_without_changes():
    """One without links forgot all targets at once that had not changed for 60 s."""
    targets = Targets(gets_heartbeats=False)
    targets.see()
    targets.clock.advance(600_000)
    targets.table.forget_source("c")
    targets.clock.advance(4900)
    targets.table.sweep(0)
    assert targets.get().is_heard
    targets.clock.advance(200)
    targets.table.sweep(0)
    assert not targets.get().is_heard
    targets.clock.advance(59_900)
    targets.table.sweep(0)
    assert targets.get() is not None
    targets.clock.advance(200)
    targets.table.sweep(0)
    assert targets.get() is None


def test_an_entry_vm_keeps_a_silent_target_for_a_while():
    targets = Targets(gets_heartbeats=False)
    targets.see()
    targets.clock.advance(600_000)
    targets.table.handle_silent(TargetSilent("t"), "c")
    targets.clock.advance(59_900)
    targets.table.sweep(0)
    assert targets.get() is not None
    targets.clock.advance(200)
    targets.table.sweep(0)
    assert targets.get() is None


def test_a_source_without_heartbeats_reports_the_target_silent():
    targets = Targets()
    targets.see("direct")
    targets.clock.advance(4300)
    targets.table.sweep(4200, "direct")
    assert targets.notified[-1] == TargetSilent("t")


class Members:
    """A `MemberTable`, and the changes that it notified."""

    def __init__(self):
        self.clock = ManualClock(1000)
        self.notified = []
        self.table = MemberTable(self.clock, lambda m, s: self.notified.append(m))

    def up(self, source="c", **changes):
        self.table.handle_up(MemberUp(MEMBER._replace(**changes)), source)


def test_a_member_is_live_while_one_source_lists_it():
    members = Members()
    members.up("c")
    members.up("d")
    members.table.handle_down(MemberDown("m", "i1"), "c")
    assert [member.name for member in members.table.live()] == ["m"]
    members.table.handle_down(MemberDown("m", "i1"), "d")
    assert members.table.live() == ()
    assert [member.name for member in members.table.known()] == ["m"]
    members.clock.advance(3100)
    members.table.sweep()
    assert members.table.known() == ()


def test_the_loss_of_an_old_incarnation_does_not_remove_the_new_one():
    members = Members()
    members.up()
    members.up(incarnation="i2", started=2)
    members.table.handle_down(MemberDown("m", "i1"), "c")
    assert members.table.live()[0].incarnation == "i2"


def test_each_change_is_heard_by_all_listeners(caplog):
    """A log field named like an attribute of the record once hid losses of members."""
    caplog.set_level("INFO", "pollenmount")
    world = EntryHarness()
    heard = []
    world.fleet.listeners.append(lambda message, source: heard.append(message))
    down = MemberDown("m", "i1")
    for message in (
        MemberUp(MEMBER),
        down,
        TargetSeen(RECORD, 0),
        TargetSilent("t"),
        TargetGone("t", 100),
        EvacuationsChanged(1, ("west-a",)),
    ):
        world.fleet.handle(message, "c")
        assert heard[-1] == message
    changes = {r.fields["change"]: r.fields for r in caplog.records}
    assert (changes["MemberDown"]["member"], down.incarnation) == ("m", "i1")


def test_one_source_is_enough_to_report_that_a_member_stops():
    members = Members()
    members.up("c")
    members.up("d", sequence=2, stopping=True, ready=False)
    assert members.table.live()[0].stopping


def test_the_entry_counter_never_assumes_too_few():
    """VMs that are believed gone may still use their share of a budget."""
    clock = ManualClock(1000)
    counter = EntryCounter(clock)
    assert (counter.entries() >= 24, counter.share()) == (True, 0.0)
    counter.record(EntryCounts({"west": 3}, True, False))
    assert (counter.entries() >= 24, counter.share()) == (True, 0.0)
    counter.record(EntryCounts({"west": 5, "east": 2}, True, True))
    assert (counter.entries(), counter.entries("west")) == (7, 5)
    assert counter.share() == 1 / 7
    clock.advance(100_000)
    counter.record(EntryCounts({"west": 5}, True, True))
    clock.advance(50_000)
    counter.record(EntryCounts({"west": 1}, False, False))
    assert counter.entries() == 7
    clock.advance(10_000)
    assert counter.entries() == 5
    clock.advance(50_000)
    assert (counter.entries(), counter.share()) == (1, 1.0)


def test_a_vm_that_joins_takes_its_share_once_it_can_be_counted():
    """A VM that has just started must not use a budget of which others have it all."""
    clock = ManualClock(1000)
    old, new = EntryCounter(clock), EntryCounter(clock)
    old.record(EntryCounts({"west": 1}, True, True))
    assert old.share() + new.share() <= 1
    old.record(EntryCounts({"west": 2}, True, True))
    new.record(EntryCounts({"west": 2}, True, True))
    assert old.share() + new.share() <= 1


def test_targets_are_found_by_the_service_they_have_now():
    """After a restart an address or id may belong to another service."""
    world = EntryHarness()
    world.add_target("t", service="desk")
    assert [target.id for target in world.fleet.targets.of_service("desk")] == ["t"]
    world.add_target("t", service="engine", born=2)
    assert world.fleet.targets.of_service("desk") == []
    assert [target.id for target in world.fleet.targets.of_service("engine")] == ["t"]
    world.fleet.targets.handle_leave("t", "c")
    assert world.fleet.targets.of_service("engine") == []


def test_members_by_region_follow_each_change():
    world = EntryHarness()
    members = world.fleet.members
    assert members.live_in(ENTRY, "east") == ()
    world.add_entry("east-1", "east")
    assert [member.name for member in members.live_in(ENTRY, "east")] == ["east-1"]
    world.add_entry("east-1", "south", sequence=2)
    assert members.live_in(ENTRY, "east") == ()
    assert [member.name for member in members.known_in(ENTRY, "south")] == ["east-1"]
