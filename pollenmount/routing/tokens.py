"""Counts the generated tokens of an answer, for callers' budgets."""

import msgspec

__all__ = ["count_tokens"]

EVENT_END = b"\n\n"
BYTES_PER_TOKEN = 4


class Usage(msgspec.Struct):
    """What an engine says that it generated."""

    completion_tokens: int


class Completion(msgspec.Struct):
    """The part of a chat completion that tells its usage."""

    usage: Usage


def count_tokens(call, data):
    """Return the tokens in one part of an answer; an estimate if nothing tells them.

    A streamed answer has about one token an event.
    """
    if call.stream:
        return data.count(EVENT_END)
    try:
        return msgspec.json.decode(data, type=Completion).usage.completion_tokens
    except msgspec.DecodeError:
        return len(data) // BYTES_PER_TOKEN
