"""Files of one folder, with each step towards durability as a method of its own.

What was written is durable once `sync` has returned for the file and, if the file was
created or renamed, once `sync_folder` has returned.
"""

import contextlib
import os
from pathlib import Path

__all__ = ["Disk"]


class Disk:
    """The files in `folder`, which is created if it doesn't exist."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.open_files = {}
        self.create_folder()

    def create_folder(self):
        """Create the folder and sync its parents, so that it is durable."""
        missing = [p for p in (self.folder, *self.folder.parents) if not p.exists()]
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in missing:
            sync_path(path.parent)

    def read(self, name):
        """Return the content of a file, or None if it doesn't exist."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def write(self, name, data):
        """Write a new file; an old one of that name is deleted first."""
        self.close_file(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.folder / name)
        self.append(name, data)

    def append(self, name, data):
        """Append to a file, which is created if need be."""
        descriptor = self.descriptor(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def truncate(self, name, length):
        """Truncate a file to `length` bytes."""
        os.ftruncate(self.descriptor(name), length)

    def sync(self, name):
        """Make the content of a file durable."""
        os.fdatasync(self.descriptor(name))

    def rename(self, old, new):
        """Rename the file `old` to `new`, replacing `new` atomically."""
        self.close_file(new)
        os.replace(self.folder / old, self.folder / new)
        if old in self.open_files:
            self.open_files[new] = self.open_files.pop(old)

    def sync_folder(self):
        """Make creations and renames of files durable."""
        sync_path(self.folder)

    def descriptor(self, name):
        """Return the descriptor of a file, opened for appending on first use."""
        if name not in self.open_files:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT
            self.open_files[name] = os.open(self.folder / name, flags, 0o600)
        return self.open_files[name]

    def close_file(self, name):
        """Close a file, if it is open."""
        if name in self.open_files:
            os.close(self.open_files.pop(name))

    def close(self):
        """Close all files."""
        for name in list(self.open_files):
            self.close_file(name)


def sync_path(path):
    """Sync the folder at `path`."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
