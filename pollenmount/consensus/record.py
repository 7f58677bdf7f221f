"""Records in the files of a replica: a salt, a length, a checksum, and the content.

Each file has a random salt, which starts each of its records and is part of the
checksum, so that no content can be mistaken for a record.
"""

import os
import struct
import zlib
from typing import NamedTuple

__all__ = ["SALT_BYTES", "ScanResult", "generate_salt", "pack", "scan"]

SALT_BYTES = 8
HEADER = struct.Struct(f">{SALT_BYTES}sII")


class ScanResult(NamedTuple):
    """The contents of the valid records at the start of a file.

    `end` is the offset after them. `damaged` is set if a valid record follows an
    invalid one, which a torn write at the end can't cause.
    """

    contents: tuple[bytes, ...]
    salt: bytes
    end: int
    damaged: bool


def generate_salt():
    """Return a new random salt."""
    return os.urandom(SALT_BYTES)


def pack(salt, content):
    """Return the record of `content`."""
    return HEADER.pack(salt, len(content), checksum(salt, content)) + content


def checksum(salt, content):
    """Return the checksum over salt, length and content."""
    seed = zlib.crc32(salt + len(content).to_bytes(8, "big"))
    return zlib.crc32(content, seed)


def unpack(data, offset, salt):
    """Return the content of the record at `offset`, or None if it isn't valid."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    record_salt, length, expected = HEADER.unpack_from(data, offset)
    content = data[start : start + length]
    if record_salt != salt or len(content) != length:
        return None
    return content if checksum(salt, content) == expected else None


def scan(data):
    """Return the `ScanResult` of a file; the salt is that of its first record."""
    salt = data[:SALT_BYTES]
    contents = []
    end = 0
    while (content := unpack(data, end, salt)) is not None:
        contents.append(content)
        end += HEADER.size + len(content)
    return ScanResult(
        tuple(contents), salt, end, has_valid_record_after(data, end, salt)
    )


def has_valid_record_after(data, offset, salt):
    """Return whether a valid record starts anywhere after `offset`."""
    position = data.find(salt, offset + 1)
    while position >= 0:
        if unpack(data, position, salt) is not None:
            return True
        position = data.find(salt, position + 1)
    return False
