"""The journal: what a replica promised, on disk before the promise leaves.

Two files: `journal`, to which each save appends one record, and `snapshot`. Both are
replaced as a whole by renaming. As one save is one record, and the next is written only
after a sync, a crash can tear the last record only: that one is cut. Damage before it
is refused.
"""

import contextlib
import uuid
from typing import NamedTuple

import msgspec

from pollenmount.consensus import record
from pollenmount.consensus.messages import Replica, Snapshot
from pollenmount.consensus.state import NO_SNAPSHOT, Log, SaveEntries
from pollenmount.errors import PollenmountError

__all__ = [
    "Journal",
    "JournalDamagedError",
    "JournalFailedError",
    "JournalFullError",
    "Saved",
]

JOURNAL = "journal"
SNAPSHOT = "snapshot"
NEW = ".new"
REMEDY = (
    "move the folder away and start again: the VM joins as a new voter, if a majority "
    "of the others is up"
)


class JournalDamagedError(PollenmountError):
    """What is on disk can't be trusted; the replica doesn't start."""


class JournalFullError(PollenmountError):
    """Nothing was saved, as there is no room; what was saved before is whole."""


class JournalFailedError(PollenmountError):
    """The disk failed; what it holds is known only after a new start."""


class Head(NamedTuple):
    """First record of a journal."""

    incarnation: str
    base_index: int
    base_term: int
    snapshot_index: int


class Record(NamedTuple):
    """One save: term, vote and commit as they are now, entries in order of saving."""

    term: int
    voted_for: Replica | None
    saves: tuple[SaveEntries, ...]
    commit: int = 0


class Saved(NamedTuple):
    """What a replica had saved when it ended."""

    incarnation: str
    term: int = 0
    voted_for: Replica | None = None
    snapshot: Snapshot = NO_SNAPSHOT
    log: Log = Log()
    commit: int = 0


class Journal:
    """The files of one replica on `disk`; opening reads them or makes new ones.

    `saved` holds what was found, `size` the bytes of the journal without snapshot,
    `commit` the commit index saved last.
    """

    def __init__(self, disk):
        self.disk = disk
        self.salt = b""
        self.size = 0
        self.failed = False
        self.commit = 0
        self.saved = self.load()
        self.commit = self.saved.commit

    def load(self):
        """Return what is on disk, after repairing what a crash may leave."""
        data = self.disk.read(JOURNAL)
        snapshot_data = self.disk.read(SNAPSHOT)
        if data is None:
            return self.create(snapshot_data)
        found = record.scan(data)
        if found.damaged or not found.contents:
            self.refuse(JOURNAL, found.end)
        head = msgspec.msgpack.decode(found.contents[0], type=Head)
        saved = replay(head, found.contents[1:])
        snapshot = self.read_snapshot(snapshot_data, head)
        self.salt, self.size, self.incarnation = found.salt, found.end, head.incarnation
        if found.end < len(data):
            self.disk.truncate(JOURNAL, found.end)
            self.disk.sync(JOURNAL)
        return self.match(saved._replace(snapshot=snapshot))

    def match(self, saved):
        """Return what was saved, without entries that the snapshot contradicts.

        Later entries must not be saved after those, so the journal is replaced.
        """
        log = match_log(saved.log, saved.snapshot)
        if log != saved.log:
            self.rewrite(saved.snapshot, saved.term, saved.voted_for, log, saved.commit)
        return saved._replace(log=log)

    def create(self, snapshot_data):
        """Make the first journal, with a new incarnation."""
        if snapshot_data is not None:
            self.refuse(JOURNAL, 0)
        saved = Saved(uuid.uuid4().hex)
        self.incarnation = saved.incarnation
        self.rewrite(NO_SNAPSHOT, 0, None, Log(), 0)
        return saved

    def read_snapshot(self, data, head):
        """Return the snapshot, which must be as new as the journal expects."""
        snapshot = NO_SNAPSHOT
        if data is not None:
            found = record.scan(data)
            if len(found.contents) != 1:
                self.refuse(SNAPSHOT, found.end)
            snapshot = msgspec.msgpack.decode(found.contents[0], type=Snapshot)
        if snapshot.index < head.snapshot_index:
            self.refuse(SNAPSHOT, 0)
        return snapshot

    def refuse(self, name, position):
        """Raise the error for a damaged file."""
        where = f"{getattr(self.disk, 'folder', '')}/{name}"
        raise JournalDamagedError(f"{where} is damaged at byte {position}; {REMEDY}")

    def save(self, term, voted_for, saves=(), commit=0):
        """Append one record and sync it."""
        found = Record(term, voted_for, tuple(saves), commit)
        content = msgspec.msgpack.encode(found)
        data = record.pack(self.salt, content)
        with self.guard():
            try:
                self.disk.append(JOURNAL, data)
            except OSError as error:
                self.disk.truncate(JOURNAL, self.size)
                raise full(error) from error
            self.disk.sync(JOURNAL)
        self.size += len(data)
        self.commit = commit

    def save_snapshot(self, snapshot, term, voted_for, log, commit=0):
        """Replace the snapshot, then the journal by what is still needed of it."""
        with self.guard():
            salt = record.draw_salt()
            content = msgspec.msgpack.encode(snapshot)
            self.replace(SNAPSHOT, record.pack(salt, content))
        self.rewrite(snapshot, term, voted_for, log, commit)

    def rewrite(self, snapshot, term, voted_for, log, commit):
        """Replace the journal."""
        salt = record.draw_salt()
        head = Head(self.incarnation, log.base_index, log.base_term, snapshot.index)
        saves = (SaveEntries(log.base_index + 1, log.entries),)
        contents = (head, Record(term, voted_for, saves, commit))
        data = b"".join(record.pack(salt, msgspec.msgpack.encode(c)) for c in contents)
        with self.guard():
            self.replace(JOURNAL, data)
        self.salt, self.size, self.commit = salt, len(data), commit

    def replace(self, name, data):
        """Replace a file as a whole, durably."""
        try:
            self.disk.write(name + NEW, data)
        except OSError as error:
            with contextlib.suppress(OSError):
                self.disk.truncate(name + NEW, 0)
            raise full(error) from error
        self.disk.sync(name + NEW)
        self.disk.rename(name + NEW, name)
        self.disk.sync_folder()

    @contextlib.contextmanager
    def guard(self):
        """Take any other fault of the disk as the end of this journal."""
        if self.failed:
            raise JournalFailedError(f"the disk failed before; {RESTART}")
        try:
            yield
        except OSError as error:
            self.failed = True
            raise JournalFailedError(f"{error}; {RESTART}") from error

    def close(self):
        """Close the files."""
        self.disk.close()


RESTART = "check the disk, then restart the node"


def full(error):
    """Return the error for a write that failed and was undone."""
    return JournalFullError(f"{error}; make room on the disk of the data folder")


def replay(head, contents):
    """Return what the records of a journal amount to."""
    saved = Saved(head.incarnation, log=Log(head.base_index, head.base_term))
    for content in contents:
        found = msgspec.msgpack.decode(content, type=Record)
        log = saved.log
        for save in found.saves:
            log = log.replaced_from(save.first_index, save.entries)
        saved = saved._replace(
            term=found.term, voted_for=found.voted_for, log=log, commit=found.commit
        )
    return saved


def match_log(log, snapshot):
    """Return the log as far as it agrees with a snapshot that may be newer."""
    if snapshot.index <= log.base_index or (
        log.term_at(snapshot.index) == snapshot.term
    ):
        return log
    return Log(snapshot.index, snapshot.term)
