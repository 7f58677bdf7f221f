"""Evidence of crashes on the disk of a control VM, so that it outlasts all processes.

Each control VM keeps a copy of its own, which needs no quorum: what any of them has
saved, all VMs learn again when they link. It is what a VM that links is told, so single
crashes are in it: they add up to a quarantine over restarts.
"""

from typing import NamedTuple

import msgspec

from pollenmount.consensus import record
from pollenmount.documents import UnreadableDocumentError, decode_msgpack
from pollenmount.fleet.messages import (
    PartsServed,
    PromptBroke,
    RequestsAnswered,
    RequestsCrashed,
)
from pollenmount.log import get_logger

__all__ = ["EvidenceStore"]

FILE = "evidence"
TEMPORARY_FILE = "evidence.new"
SOURCE = "disk"
# Until a disk that refused a write is tried again.
RETRY_MS = 2000
EVIDENCE = (PromptBroke, PartsServed, RequestsCrashed, RequestsAnswered)

logger = get_logger("evidence")


class SavedEvidence(NamedTuple):
    """The document on disk; `saved_at` is in milliseconds since the Unix epoch.

    The ages of the reports are those at that time.
    """

    saved_at: int
    reports: tuple[PromptBroke | RequestsCrashed, ...]


class EvidenceStore:
    """Saves the evidence of a `Fleet` on `disk` when it changes, and loads it at once.

    `run` calls a function that waits for the disk, with its arguments, while other
    tasks run.
    """

    def __init__(self, fleet, clock, disk, run):
        self.fleet = fleet
        self.clock = clock
        self.disk = disk
        self.run = run
        self.has_changed = False
        self.not_before = clock.now()
        self.load()
        fleet.listeners.append(self.handle_change)

    def load(self):
        """Hand the saved evidence to the fleet; none is used if it can't be read."""
        try:
            saved = read_evidence(self.disk)
        except (UnreadableDocumentError, OSError) as error:
            logger.error("evidence not loaded", extra={"problem": str(error)})
            return
        elapsed_ms = max(0, self.clock.wall_time() - saved.saved_at)
        for report in saved.reports:
            age_ms = report.age_ms + elapsed_ms
            self.fleet.handle(msgspec.structs.replace(report, age_ms=age_ms), SOURCE)
        extra = {"reports": len(saved.reports), "elapsed_ms": elapsed_ms}
        logger.info("evidence loaded", extra=extra)

    def handle_change(self, message, source):
        """Note that evidence has changed."""
        if isinstance(message, EVIDENCE):
            self.has_changed = True

    def save(self):
        """Save the evidence if it has changed."""
        if not self.has_changed or self.clock.now() < self.not_before:
            return
        self.has_changed = False
        reports = tuple(self.fleet.crash_reports())
        document = SavedEvidence(self.clock.wall_time(), reports)
        try:
            self.run(write_evidence, self.disk, document)
        except OSError as error:
            self.has_changed = True
            self.not_before = self.clock.now() + RETRY_MS
            logger.error("evidence not saved", extra={"problem": str(error)})
            return
        logger.info("evidence saved", extra={"reports": len(reports)})

    def close(self):
        """Close the files."""
        self.disk.close()


def read_evidence(disk):
    """Return the `SavedEvidence` on a disk, empty if there is none.

    Raises `UnreadableDocumentError` if it is damaged.
    """
    data = disk.read(FILE)
    if data is None:
        return SavedEvidence(0, ())
    contents = record.scan(data).contents
    if len(contents) != 1:
        raise UnreadableDocumentError("the evidence on disk is damaged")
    return decode_msgpack(contents[0], SavedEvidence)


def write_evidence(disk, document):
    """Replace the document on a disk, atomically and durably."""
    data = record.pack(record.generate_salt(), msgspec.msgpack.encode(document))
    disk.write(TEMPORARY_FILE, data)
    disk.sync(TEMPORARY_FILE)
    disk.rename(TEMPORARY_FILE, FILE)
    disk.sync_folder()
