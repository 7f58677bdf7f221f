"""Files of one folder, by name, with each step that durability depends on.

What was written lasts once `sync` returned for the file and, for new names, once
`sync_folder` did.
"""

import contextlib
import os
from pathlib import Path

__all__ = ["Disk"]


class Disk:
    """The files in `folder`, which is made if need be."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.open_files = {}
        self.create_folder()

    def create_folder(self):
        """Make the folder; it lasts once its parents are synced."""
        missing = [p for p in (self.folder, *self.folder.parents) if not p.exists()]
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in missing:
            sync_path(path.parent)

    def read(self, name):
        """Return the whole file, or None without one."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def write(self, name, data):
        """Write a whole new file."""
        self.close_file(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)
        self.append(name, data)

    def append(self, name, data):
        """Write at the end of a file."""
        descriptor = self.descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def truncate(self, name, length):
        """Cut a file."""
        os.ftruncate(self.descriptor(name), length)

    def sync(self, name):
        """Return once what was written to the file lasts."""
        os.fdatasync(self.descriptor(name))

    def rename(self, old, new):
        """Put the file `old` in place of `new`."""
        self.close_file(new)
        os.replace(self.folder / old, self.folder / new)
        if old in self.open_files:
            self.open_files[new] = self.open_files.pop(old)

    def sync_folder(self):
        """Return once the names of the files last."""
        sync_path(self.folder)

    def descriptor(self, name):
        """Return the descriptor of a file, opened for appending on first use."""
        if name not in self.open_files:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
            self.open_files[name] = os.open(self.folder / name, flags, 0o600)
        return self.open_files[name]

    def close_file(self, name):
        """Close the descriptor of a file, if there is one."""
        if name in self.open_files:
            os.close(self.open_files.pop(name))

    def close(self):
        """Close all files."""
        for name in list(self.open_files):
            self.close_file(name)


def sync_path(path):
    """Sync a folder."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
