"""Evidence of crashes on the disk of a control VM."""

import contextlib

import pytest

from pollenmount.clock import ManualClock
from pollenmount.consensus.disk import Disk
from pollenmount.fleet.evidence_store import FILE, RETRY_MS, EvidenceStore
from pollenmount.fleet.fleet import MAX_REPORTED_KEYS, Fleet
from pollenmount.fleet.messages import PartsServed, PromptBroke, RequestsCrashed
from pollenmount.fleet.observations import RESPONSE
from pollenmount.routes.store import RoutesStore

PART = "deadly"
DIGEST = "d1"
HOUR_MS = 3_600_000


class ControlVm:
    """A control VM that is started on a folder, maybe again, by the clock `clock`."""

    def __init__(self, folder, clock):
        self.clock = clock
        self.fleet = Fleet(clock, RoutesStore(lambda data: data), {}, is_control=True)
        self.disk = Disk(folder)
        self.store = EvidenceStore(self.fleet, clock, self.disk, self.run)

    def run(self, function, *args):
        return function(*args)

    def crash(self, number):
        """Record a crash of one more target, of another prompt, and of a request."""
        target = f"t{number}"
        self.fleet.handle(PromptBroke(target, 1, f"own-{number}", (PART,)), RESPONSE)
        self.fleet.handle(RequestsCrashed(target, 1, "call", (DIGEST,)), RESPONSE)
        self.clock.advance(1000)
        self.store.save()

    def left_ms(self):
        """Return for how long the part and the request are in quarantine."""
        return (
            self.fleet.part_quarantine.left_ms((PART,)),
            self.fleet.request_quarantine.left_ms((DIGEST,)),
        )


@pytest.fixture
def clock():
    return ManualClock(10 * HOUR_MS)


# After a kill of all VMs nobody knew of a quarantine, and targets were crashed anew.
def test_a_quarantine_outlasts_a_restart_of_all_vms(tmp_path, clock):
    vm = ControlVm(tmp_path, clock)
    vm.crash(1)
    vm.crash(2)
    before = vm.left_ms()
    assert all(before)
    clock.advance(700)
    restarted = ControlVm(tmp_path, clock)
    assert restarted.left_ms() == tuple(ms - 700 for ms in before)


# What was saved must not come back after it was disproved.
def test_what_was_cleared_is_not_loaded_again(tmp_path, clock):
    vm = ControlVm(tmp_path, clock)
    vm.crash(1)
    vm.crash(2)
    vm.fleet.handle(PartsServed((PART,), True), RESPONSE)
    vm.store.save()
    assert ControlVm(tmp_path, clock).left_ms()[0] == 0


# Evidence of less than a quarantine was lost at each restart, so that a part which
# crashed few targets in between was never found out.
@pytest.mark.parametrize("late", [False, True])
def test_crashes_add_up_over_restarts(tmp_path, clock, late):
    crashes = 0
    for _ in range(10):
        vm = ControlVm(tmp_path, clock)
        for _ in range(2 if late else 1):
            if vm.left_ms()[0]:
                continue
            crashes += 1
            report = PromptBroke(f"t{crashes}", 1, f"own{crashes}", (PART,), 0, late)
            vm.fleet.handle(report, RESPONSE)
            clock.advance(1000)
            vm.store.save()
    assert crashes <= 5


# Requests stay in evidence for a day, and pushed what is known of parts off the disk.
def test_many_requests_leave_the_evidence_on_parts_on_disk(tmp_path, clock):
    vm = ControlVm(tmp_path, clock)
    for number in range(3 * MAX_REPORTED_KEYS):
        for target in "ab":
            report = RequestsCrashed(target + str(number), 1, "c", (f"d{number}",))
            vm.fleet.handle(report, RESPONSE)
    vm.crash(1)
    vm.crash(2)
    assert vm.left_ms()[0]
    assert ControlVm(tmp_path, clock).left_ms()[0]


# What was cleared while a control VM was down came back with its disk.
def test_a_control_vm_that_was_down_brings_back_nothing_that_was_cleared(
    tmp_path, clock
):
    one, other = (ControlVm(tmp_path / name, clock) for name in ("one", "other"))
    for number in (1, 2, 3, 4):
        one.crash(number)
        other.crash(number)
    clock.advance(60_000)
    one.fleet.handle(PartsServed((PART,), True), RESPONSE)
    one.store.save()
    assert one.left_ms()[0] == 0
    clock.advance(60_000)
    for message in ControlVm(tmp_path / "other", clock).fleet.crash_reports():
        one.fleet.handle(message, "other")
    assert one.left_ms()[0] == 0


# The time of day may have been set back while the VM was down.
def test_a_clock_that_was_set_back_ends_no_quarantine(tmp_path, clock):
    vm = ControlVm(tmp_path, clock)
    vm.crash(1)
    vm.crash(2)
    before = vm.left_ms()
    clock.advance(-HOUR_MS)
    assert ControlVm(tmp_path, clock).left_ms() == before


# A file that can't be read must not keep a control VM from starting.
@pytest.mark.parametrize("data", [b"", b"torn", b"\0" * 100])
def test_a_damaged_file_is_left_out(tmp_path, clock, data):
    vm = ControlVm(tmp_path, clock)
    vm.crash(1)
    vm.crash(2)
    (tmp_path / FILE).write_bytes(data)
    restarted = ControlVm(tmp_path, clock)
    assert restarted.left_ms() == (0, 0)
    restarted.crash(3)
    restarted.crash(4)
    assert all(ControlVm(tmp_path, clock).left_ms())


# A disk that is full for a while must neither end the VM nor lose the evidence.
def test_a_full_disk_is_tried_again(tmp_path, clock):
    vm = ControlVm(tmp_path, clock)
    with contextlib.ExitStack() as stack:
        write = vm.disk.write
        stack.callback(setattr, vm.disk, "write", write)

        def refuse(name, data):
            raise OSError("no space left on device")

        vm.disk.write = refuse
        vm.crash(1)
        vm.crash(2)
    assert ControlVm(tmp_path, clock).left_ms() == (0, 0)
    clock.advance(RETRY_MS)
    vm.store.save()
    assert all(ControlVm(tmp_path, clock).left_ms())
