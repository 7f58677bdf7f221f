"""Counts the generated tokens of a response, for the token limits of callers."""

import msgspec

__all__ = ["count_tokens"]

EVENT_END = b"\n\n"
BYTES_PER_TOKEN = 4


class Usage(msgspec.Struct):
    """Token usage that an engine reports."""

    completion_tokens: int


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
        return msgspec.json.decode(data, type=Completion).usage.completion_tokens
    except msgspec.DecodeError:
        return len(data) // BYTES_PER_TOKEN
