"""Durable state of a replica: its term and vote, log entries, and snapshot.

A save is on disk before the messages that depend on it are sent. There are two files:
`journal`, to which each save appends one record, and `snapshot`. Both are replaced as a
whole by renaming. As one save is one record, and the next is written only after a sync,
a crash can leave only the last record incomplete: that one is truncated. Damage before
it is an error.
"""

import contextlib
import uuid
from typing import NamedTuple

import msgspec

from pollenmount.consensus import record
from pollenmount.consensus.messages import Replica, Snapshot
from pollenmount.consensus.state import NO_SNAPSHOT, Log, SaveEntries
from pollenmount.documents import UnreadableDocumentError, decode_msgpack
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
TEMPORARY_SUFFIX = ".new"
DAMAGE_REMEDY = (
    "move the folder away and start again: the VM joins as a new voter, if a majority "
    "of the others is up"
)


class JournalDamagedError(PollenmountError):
    """The files on disk are damaged or missing; the replica doesn't start."""


class JournalFullError(PollenmountError):
    """Nothing was saved, as the disk is full; what was saved before is intact."""


class JournalFailedError(PollenmountError):
    """The disk failed; what it holds is known only after a restart."""


class JournalHeader(NamedTuple):
    """First record of a journal."""

    incarnation: str
    base_index: int
    base_term: int
    snapshot_index: int


class Record(NamedTuple):
    """One save: the present term, vote and commit index, and entries in order."""

    term: int
    voted_for: Replica | None
    saves: tuple[SaveEntries, ...]
    commit: int = 0


class Saved(NamedTuple):
    """What a replica had saved when it last stopped."""

    incarnation: str
    term: int = 0
    voted_for: Replica | None = None
    snapshot: Snapshot = NO_SNAPSHOT
    log: Log = Log()
    commit: int = 0


class Journal:
    """The files of one replica on `disk`, which are read or created on opening.

    `saved` is what was read, `size` the size of the journal without the snapshot in
    bytes, `commit` the commit index saved last.
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
        """Return what is on disk, after truncating a record that a crash left torn."""
        data = self.disk.read(JOURNAL)
        snapshot_data = self.disk.read(SNAPSHOT)
        if data is None:
            return self.create(snapshot_data)
        scanned = record.scan(data)
        if scanned.damaged or not scanned.contents:
            self.raise_damaged(JOURNAL, scanned.end)
        with self.report_unreadable(JOURNAL):
            header = decode_msgpack(scanned.contents[0], JournalHeader)
            saved = replay(header, scanned.contents[1:])
        snapshot = self.read_snapshot(snapshot_data, header)
        self.salt, self.size, self.incarnation = (
            scanned.salt,
            scanned.end,
            header.incarnation,
        )
        if scanned.end < len(data):
            self.disk.truncate(JOURNAL, scanned.end)
            self.disk.sync(JOURNAL)
        return self.reconcile(saved._replace(snapshot=snapshot))

    def reconcile(self, saved):
        """Return what was saved, without entries that conflict with the snapshot.

        New entries must not be appended after conflicting ones, so the journal is
        replaced if there are any.
        """
        log = reconcile_log(saved.log, saved.snapshot)
        if log != saved.log:
            self.rewrite(saved.snapshot, saved.term, saved.voted_for, log, saved.commit)
        return saved._replace(log=log)

    def create(self, snapshot_data):
        """Create the first journal, with a new incarnation."""
        if snapshot_data is not None:
            self.raise_damaged(JOURNAL, 0)
        saved = Saved(uuid.uuid4().hex)
        self.incarnation = saved.incarnation
        self.rewrite(NO_SNAPSHOT, 0, None, Log(), 0)
        return saved

    def read_snapshot(self, data, header):
        """Return the snapshot, which must be at least as new as the header says."""
        snapshot = NO_SNAPSHOT
        if data is not None:
            scanned = record.scan(data)
            if len(scanned.contents) != 1:
                self.raise_damaged(SNAPSHOT, scanned.end)
            with self.report_unreadable(SNAPSHOT):
                snapshot = decode_msgpack(scanned.contents[0], Snapshot)
        if snapshot.index < header.snapshot_index:
            self.raise_damaged(SNAPSHOT, 0)
        return snapshot

    @contextlib.contextmanager
    def report_unreadable(self, name):
        """Turn the error of a record that can't be decoded into that of its file."""
        try:
            yield
        except UnreadableDocumentError as error:
            self.raise_damaged(name, 0, error)

    def raise_damaged(self, name, position, cause=None):
        """Raise the error for a damaged file."""
        where = f"{getattr(self.disk, 'folder', '')}/{name}"
        raise JournalDamagedError(
            f"{where} is damaged at byte {position}; {DAMAGE_REMEDY}"
        ) from cause

    def save(self, term, voted_for, saves=(), commit=0):
        """Append one record and sync it."""
        new_record = Record(term, voted_for, tuple(saves), commit)
        content = msgspec.msgpack.encode(new_record)
        data = record.pack(self.salt, content)
        with self.fail_on_disk_error():
            try:
                self.disk.append(JOURNAL, data)
            except OSError as error:
                self.disk.truncate(JOURNAL, self.size)
                raise journal_full_error(error) from error
            self.disk.sync(JOURNAL)
        self.size += len(data)
        self.commit = commit

    def save_snapshot(self, snapshot, term, voted_for, log, commit=0):
        """Replace the snapshot, then the journal by the entries still needed."""
        with self.fail_on_disk_error():
            salt = record.generate_salt()
            content = msgspec.msgpack.encode(snapshot)
            self.replace(SNAPSHOT, record.pack(salt, content))
        self.rewrite(snapshot, term, voted_for, log, commit)

    def rewrite(self, snapshot, term, voted_for, log, commit):
        """Replace the journal by one with a header and one record."""
        salt = record.generate_salt()
        header = JournalHeader(
            self.incarnation, log.base_index, log.base_term, snapshot.index
        )
        saves = (SaveEntries(log.base_index + 1, log.entries),)
        contents = (header, Record(term, voted_for, saves, commit))
        data = b"".join(record.pack(salt, msgspec.msgpack.encode(c)) for c in contents)
        with self.fail_on_disk_error():
            self.replace(JOURNAL, data)
        self.salt, self.size, self.commit = salt, len(data), commit

    def replace(self, name, data):
        """Replace a file atomically and durably."""
        try:
            self.disk.write(name + TEMPORARY_SUFFIX, data)
        except OSError as error:
            with contextlib.suppress(OSError):
                self.disk.truncate(name + TEMPORARY_SUFFIX, 0)
            raise journal_full_error(error) from error
        self.disk.sync(name + TEMPORARY_SUFFIX)
        self.disk.rename(name + TEMPORARY_SUFFIX, name)
        self.disk.sync_folder()

    @contextlib.contextmanager
    def fail_on_disk_error(self):
        """Turn an `OSError` into a lasting failure of this journal."""
        if self.failed:
            raise JournalFailedError(f"the disk failed earlier; {FAILURE_REMEDY}")
        try:
            yield
        except OSError as error:
            self.failed = True
            raise JournalFailedError(f"{error}; {FAILURE_REMEDY}") from error

    def close(self):
        """Close the files."""
        self.disk.close()


FAILURE_REMEDY = "check the disk, then restart the node"


def journal_full_error(error):
    """Return the error for a failed write that was undone."""
    return JournalFullError(f"{error}; free space on the disk of the data folder")


def replay(header, contents):
    """Return the state after replaying the records of a journal."""
    saved = Saved(header.incarnation, log=Log(header.base_index, header.base_term))
    for content in contents:
        saved_record = decode_msgpack(content, Record)
        log = saved.log
        for save in saved_record.saves:
            log = log.replaced_from(save.first_index, save.entries)
        saved = saved._replace(
            term=saved_record.term,
            voted_for=saved_record.voted_for,
            log=log,
            commit=saved_record.commit,
        )
    return saved


def reconcile_log(log, snapshot):
    """Return the log, or an empty one at the snapshot if it conflicts with that.

    The snapshot may be newer: a crash can come between both files' replacement.
    """
    if snapshot.index <= log.base_index or (
        log.term_at(snapshot.index) == snapshot.term
    ):
        return log
    return Log(snapshot.index, snapshot.term)
