"""Decoding of JSON, MessagePack and compressed data that may come from anyone.

Whatever is wrong with the data is one error. Whether it is too deep doesn't depend on
how deep the call stack of the reader is, so that two readers agree.
"""

import functools
import itertools
import re
import zlib
from typing import Annotated

import msgspec

from pollenmount.errors import PollenmountError

__all__ = [
    "MAX_COUNTER",
    "MAX_DEPTH",
    "MAX_DOCUMENT_BYTES",
    "MAX_DURATION_MS",
    "MAX_INTEGER",
    "Count",
    "Counter",
    "DurationMs",
    "Integer",
    "UnreadableDocumentError",
    "check_depth",
    "decode_json",
    "decode_msgpack",
    "decode_with",
    "decompress",
]

# Far below the interpreter's limit, which counts the frames of the reader as well.
MAX_DEPTH = 256
MAX_DOCUMENT_BYTES = 16 << 20
# Larger numbers can't be sent over links between VMs, or in headers between regions.
MAX_INTEGER = 2**63 - 1
# Receivers count on from such a number and add up many of them; the results, too, must
# fit into the 64 bits of an encoded integer.
MAX_COUNTER = 2**53
# A year; the time-out of a socket has to be shorter than 292 years.
MAX_DURATION_MS = 31_536_000_000
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# A backslash outside of strings is malformed, so it doesn't matter there.
ESCAPE = re.compile(rb"\\.", re.DOTALL)
OPENING = b"[{"
CLOSING = b"]}"
NOT_BRACKETS = bytes({*range(256)} - {*OPENING, *CLOSING})
STEPS = dict.fromkeys(OPENING, 1) | dict.fromkeys(CLOSING, -1)


class UnreadableDocumentError(PollenmountError):
    """The data can't be decoded: malformed, too deep, too large or out of range."""


@functools.cache
def json_decoder(type_):
    """Return the decoder of JSON documents of a type."""
    return msgspec.json.Decoder(type_)


@functools.cache
def msgpack_decoder(type_):
    """Return the decoder of MessagePack data of a type."""
    return msgspec.msgpack.Decoder(type_)


def decode_json(data, type_):
    """Return the `type_` in a JSON document, given as bytes or text."""
    try:
        encoded = data.encode() if isinstance(data, str) else data
    except UnicodeEncodeError as error:
        raise UnreadableDocumentError(str(error)) from error
    check_depth(encoded)
    return decode_with(json_decoder(type_), encoded)


def decode_msgpack(data, type_):
    """Return the `type_` in MessagePack data."""
    return decode_with(msgpack_decoder(type_), data)


def decode_with(decoder, data):
    """Return what a decoder of msgspec reads, which may be far too deep for it."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise UnreadableDocumentError(str(error)) from error


def check_depth(document):
    """Raise `UnreadableDocumentError` if a JSON document has too many levels."""
    if document.count(b"[") + document.count(b"{") <= MAX_DEPTH:
        return
    outside_strings = b"".join(ESCAPE.sub(b"", document).split(b'"')[::2])
    brackets = outside_strings.translate(None, NOT_BRACKETS)
    steps = map(STEPS.__getitem__, brackets)
    if any(depth > MAX_DEPTH for depth in itertools.accumulate(steps)):
        raise UnreadableDocumentError(f"more than {MAX_DEPTH} levels deep")


def decompress(data):
    """Return the data compressed with zlib, if it is no larger than a document."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise UnreadableDocumentError(str(error)) from error
    if not decompressor.eof:
        raise UnreadableDocumentError("compressed data is cut off or too large")
    return document
