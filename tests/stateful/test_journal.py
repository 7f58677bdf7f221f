"""The journal on a disk that loses unsynced data, tears writes and runs full.

POLLENMOUNT_FUZZ sets the number of examples, with 30 saves each; CI runs 300.
"""

import contextlib
import errno
import os
import random

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from pollenmount.consensus import journal as j
from pollenmount.consensus.disk import Disk
from pollenmount.consensus.messages import Configuration, Entry, Replica, Snapshot
from pollenmount.consensus.state import Log, SaveEntries

VOTER = Replica("a", "1", "x", "127.0.0.1:1")
EXAMPLES = int(os.environ.get("POLLENMOUNT_FUZZ", "0"))
SETTINGS = settings(
    max_examples=EXAMPLES or 300,
    derandomize=not EXAMPLES,
    phases=[Phase.generate],
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class CrashError(Exception):
    """A simulated power failure."""


class FakeDisk:
    """Files in memory, each with its content as last synced and as last written.

    The disk crashes after `steps_until_crash` further steps, unless that is None, and
    is full once `free_bytes` are written.
    """

    def __init__(self, rng):
        self.rng = rng
        self.files, self.names, self.synced_names = {}, {}, {}
        self.steps_until_crash = None
        self.free_bytes = 1 << 30

    def count_step(self):
        if self.steps_until_crash is not None:
            self.steps_until_crash -= 1
            if self.steps_until_crash < 0:
                raise CrashError

    def read(self, name):
        file = self.names.get(name)
        return None if file is None else bytes(file[1])

    def write(self, name, data):
        self.names[name] = [b"", b""]
        self.append(name, data)

    def append(self, name, data):
        file = self.names[name]
        written = data[: self.free_bytes]
        self.free_bytes -= len(written)
        file[1] += written
        self.count_step()
        if len(written) < len(data):
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, name, length):
        file = self.names[name]
        file[1] = file[1][:length]
        self.count_step()

    def sync(self, name):
        self.count_step()
        file = self.names[name]
        file[0] = file[1]

    def rename(self, old, new):
        self.names[new] = self.names.pop(old)
        self.count_step()

    def sync_folder(self):
        self.count_step()
        self.synced_names = dict(self.names)

    def close(self):
        pass

    def crash(self):
        """Reduce names and contents to what a crash may leave of them."""
        self.steps_until_crash = None
        if self.rng.random() < 0.5:
            self.names = dict(self.synced_names)
        for file in self.names.values():
            file[:] = [self.tear(*file)] * 2
        self.synced_names = dict(self.names)

    def tear(self, synced, present):
        if not present.startswith(synced):
            return self.rng.choice((synced, present))
        tail = bytearray(present[len(synced) :])
        del tail[self.rng.randint(0, len(tail)) :]
        for _ in range(self.rng.randint(0, 2) if tail else 0):
            tail[self.rng.randrange(len(tail))] = self.rng.randrange(256)
        return synced + bytes(tail)


def normalize(saved):
    """Return a `Saved` with its log reduced to the part after the snapshot."""
    log = saved.log
    start = max(saved.snapshot.index, log.base_index)
    return saved._replace(log=(start, log.term_at(start), log.after(start)))


class Writer:
    """Saves random states, and knows which of them may be found after a crash."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.disk = FakeDisk(self.rng)
        self.journal = j.Journal(self.disk)
        self.expected = self.journal.saved
        self.saves = 0

    def next_append(self):
        rng, expected = self.rng, self.expected
        log = expected.log
        first = rng.randint(
            max(log.base_index, expected.snapshot.index) + 1, log.last_index + 1
        )
        term = expected.term + rng.randint(0, 1)
        entries = tuple(
            Entry(term, "x", rng.randbytes(rng.choice((0, 9, 300))))
            for _ in range(rng.randint(0, 4))
        )
        new = expected._replace(
            term=term,
            voted_for=rng.choice((None, VOTER)),
            log=log.replaced_from(first, entries),
        )
        saves = (SaveEntries(first, entries),)
        return [expected, new], lambda: self.journal.save(term, new.voted_for, saves)

    def next_snapshot(self):
        rng, expected = self.rng, self.expected
        index = rng.randint(expected.snapshot.index + 1, expected.log.last_index + 2)
        known = expected.log.term_at(index)
        term = rng.choice((known or expected.term, expected.term))
        data = rng.randbytes(rng.choice((0, 50)))
        snapshot = Snapshot(index, term, Configuration((VOTER,)), data)
        log = j.reconcile_log(expected.log, snapshot)
        if known == term:
            log = log.compacted_to(rng.randint(max(log.base_index, index - 2), index))
        new = expected._replace(snapshot=snapshot, log=log)
        snapshot_only = expected._replace(
            snapshot=snapshot, log=j.reconcile_log(expected.log, snapshot)
        )
        save = self.journal.save_snapshot
        return [expected, snapshot_only, new], lambda: save(
            snapshot, expected.term, expected.voted_for, log
        )

    def save_once(self):
        """Save once, sometimes with a crash or a full disk; check what was saved."""
        allowed, save = self.rng.choice(
            (self.next_append, self.next_append, self.next_append, self.next_snapshot)
        )()
        fault = self.rng.random()
        if fault < 0.2:
            self.disk.steps_until_crash = self.rng.randint(0, 7)
        elif fault < 0.3:
            self.disk.free_bytes = self.rng.randint(0, 300)
        try:
            save()
            allowed = allowed[-1:]
            self.saves += 1
        except (CrashError, j.JournalFullError):
            allowed = allowed[:-1] if self.disk.steps_until_crash is None else allowed
        self.disk.free_bytes = 1 << 30
        crashed = self.disk.steps_until_crash is not None
        if crashed or len(allowed) > 1 or self.rng.random() < 0.1:
            self.reopen()
            assert normalize(self.journal.saved) in [normalize(a) for a in allowed]
            self.expected = self.journal.saved
        else:
            self.expected = allowed[-1]

    def reopen(self):
        """Open the journal after a crash, sometimes with a second crash on opening."""
        self.disk.crash()
        if self.rng.random() < 0.3:
            self.disk.steps_until_crash = self.rng.randint(0, 5)
            with contextlib.suppress(CrashError):
                j.Journal(self.disk)
            self.disk.crash()
        self.journal = j.Journal(self.disk)


@given(st.integers(0, 1 << 30))
@SETTINGS
def test_saved_state_survives_a_crash(seed):
    writer = Writer(seed)
    for _ in range(30):
        writer.save_once()
    assert writer.saves


def filled_journal(disk, count=5):
    journal = j.Journal(disk)
    for index in range(1, count + 1):
        entry = Entry(1, "x", b"body %d" % index)
        journal.save(1, VOTER, (SaveEntries(index, (entry,)),))
    return journal


@pytest.mark.parametrize("seed", range(40))
def test_damage_before_the_tail_is_an_error_with_a_remedy(seed):
    rng = random.Random(seed)
    disk = FakeDisk(rng)
    size = filled_journal(disk).size
    last = len(msgspec.msgpack.encode(j.Record(1, VOTER, ()))) + 16
    file = disk.names[j.JOURNAL]
    position = rng.randrange(size - last - 20)
    data = bytearray(file[1])
    data[position] ^= 1 << rng.randrange(8)
    file[:] = [bytes(data)] * 2
    with pytest.raises(j.JournalDamagedError, match="move the folder away"):
        j.Journal(disk)


def test_missing_files_are_refused(tmp_path):
    for gone in (j.JOURNAL, j.SNAPSHOT):
        disk = Disk(tmp_path / gone)
        journal = filled_journal(disk)
        log = journal.disk and Log(3, 1, (Entry(1, "x", b""),))
        journal.save_snapshot(
            Snapshot(3, 1, Configuration((VOTER,)), b""), 1, None, log
        )
        journal.close()
        (tmp_path / gone / gone).unlink()
        with pytest.raises(j.JournalDamagedError):
            j.Journal(Disk(tmp_path / gone))


def test_real_files_hold_what_was_saved_and_a_new_folder_is_a_new_incarnation(tmp_path):
    journal = filled_journal(Disk(tmp_path / "a"))
    journal.close()
    with open(tmp_path / "a" / j.JOURNAL, "ab") as file:
        file.write(b"torn")
    again = j.Journal(Disk(tmp_path / "a"))
    assert again.saved.incarnation == journal.saved.incarnation
    assert len(again.saved.log.entries) == 5
    again.save(2, None)
    assert j.Journal(Disk(tmp_path / "a")).saved.term == 2
    other = j.Journal(Disk(tmp_path / "b"))
    assert other.saved.incarnation != journal.saved.incarnation


def test_failed_sync_fails_the_journal_for_good():
    class BrokenDisk(FakeDisk):
        def sync(self, name):
            raise OSError(errno.EIO, "broken")

    disk = FakeDisk(random.Random(0))
    journal = filled_journal(disk)
    for kind in (BrokenDisk, FakeDisk):
        disk.__class__ = kind
        with pytest.raises(j.JournalFailedError, match="restart the node"):
            journal.save(2, None)
