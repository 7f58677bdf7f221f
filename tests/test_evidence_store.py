"""Evidence of crashes on the disk of a control VM."""

import contextlib

import pytest

from pollenmount.clock import ManualClock
from pollenmount.consensus.disk import Disk
from pollenmount.fleet.evidence_store import FILE, RETRY_MS, EvidenceStore
from pollenmount.fleet.fleet import Fleet
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


# One crash has cut many sound prompts; nothing of it is worth a write.
def test_a_single_crash_is_not_saved(tmp_path, clock):
    ControlVm(tmp_path, clock).crash(1)
    assert not (tmp_path / FILE).exists()


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
