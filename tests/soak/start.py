"""Starts one VM for the soak, with a deliberate fault if one is named.

What a control VM has synced is noted beside its files, so that the soak can take the
rest away as a loss of power would.
"""

import contextlib
import os
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SYNCED_SUFFIX = ".synced"


def record_synced_sizes():
    """Note the size of each file when it was synced last."""
    from pollenmount.consensus.disk import Disk

    sync, rename = Disk.sync, Disk.rename

    def sync_and_record(disk, name):
        sync(disk, name)
        path = disk.folder / name
        (disk.folder / f"{name}{SYNCED_SUFFIX}").write_text(str(path.stat().st_size))

    def rename_and_record(disk, old, new):
        rename(disk, old, new)
        # A file that was never synced has no note.
        with contextlib.suppress(FileNotFoundError):
            os.replace(
                disk.folder / f"{old}{SYNCED_SUFFIX}",
                disk.folder / f"{new}{SYNCED_SUFFIX}",
            )

    Disk.sync, Disk.rename = sync_and_record, rename_and_record


def skip_syncs():
    """Acknowledge what isn't on the disk."""
    from pollenmount.consensus.disk import Disk

    Disk.sync = lambda disk, name: None
    Disk.sync_folder = lambda disk: None


def retry_everything():
    """Repeat what may have run, whatever its route says."""
    from pollenmount.gateway.dispatch import Dispatcher

    Dispatcher.reason_not_to_repeat = lambda self, call, progress, error: None


def report_all_as_not_run():
    """Say of every failure that nothing ran."""
    from pollenmount.gateway.call import ErrorResponse
    from pollenmount.gateway.dispatch import Dispatcher

    Dispatcher.make_error_response = lambda self, call, progress, problem: (
        ErrorResponse(503, problem)
    )


def accept_any_response():
    """Take whatever answer comes first on a connection."""
    from pollenmount.gateway.attempt import Sender

    def read_head(self, connection, attempt):
        head = connection.read_head(self.make_left_ms(attempt.call))
        return head, self.dialect.read_response(head)

    Sender.read_head = read_head


def read_local_copy():
    """Answer reads of the plan from this VM's own copy."""
    import zlib

    from result import Ok

    from pollenmount.gateway.routes_log import RoutesLog

    def read(self):
        document = self.machine.state.document
        return Ok(zlib.decompress(document) if document else b"")

    RoutesLog.read = read


def restart_resumed_streams():
    """Let a stream that broke begin again."""
    from pollenmount.gateway.attempt import Sender

    run = Sender.run
    Sender.run = lambda self, attempt: run(self, attempt._replace(resume_after=""))


FAULTS = {
    "sync": skip_syncs,
    "twice": retry_everything,
    "promise": report_all_as_not_run,
    "answer": accept_any_response,
    "stale": read_local_copy,
    "resume": restart_resumed_streams,
}


def main():
    """Run the VM as `platform/start.py` does."""
    sys.path.insert(0, str(ROOT))
    sys.path.insert(0, str(ROOT / "platform"))
    import start

    from pollenmount import task

    task.monkey_patch()
    record_synced_sizes()
    for name in sys.argv[1:]:
        FAULTS[name]()
    return start.main()


if __name__ == "__main__":
    sys.path.pop(0)
    sys.exit(main())
