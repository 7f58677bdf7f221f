"""Counts the generated tokens of a response, for the token limits of callers."""

import msgspec

from pollenmount.documents import Count, UnreadableDocumentError, decode_json

__all__ = ["count_tokens"]

EVENT_END = b"\n\n"
BYTES_PER_TOKEN = 4


class Usage(msgspec.Struct):
    """Token usage that an engine reports."""

    completion_tokens: Count


class Completion(msgspec.Struct):
    """The part of a chat completion response that holds its usage."""

    usage: Usage


def count_tokens(call, data):
    """Return the number of tokens in a part of a response.

    A streamed response has about one token per event. Without a reported usage, the
    number is estimated from the size.
    """
    if call.stream:
        return data.count(EVENT_END)
    try:
        return decode_json(data, Completion).usage.completion_tokens
    except UnreadableDocumentError:
        return len(data) // BYTES_PER_TOKEN
