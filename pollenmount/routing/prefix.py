"""Digests of the leading blocks of a prompt, as engines report them in cache events.

A prompt is the text of all messages joined by spaces; a block is `BLOCK_WORDS` words.
The digest of a block also covers all words before it.
"""

import functools
import hashlib
from typing import Any

import msgspec

from pollenmount.documents import UnreadableDocumentError, decode_json

__all__ = ["BLOCK_WORDS", "block_digests", "digest_prompt"]

BLOCK_WORDS = 16
# Later blocks of a prompt are ignored.
MAX_BLOCKS = 64
DIGEST_BYTES = 8
PROMPT_CACHE_SIZE = 256


class Message(msgspec.Struct):
    """One message of a chat completion; only its content is used."""

    content: Any = ""


class Prompt(msgspec.Struct):
    """The part of a chat completion request that determines the cached blocks."""

    messages: list[Message]


@functools.lru_cache(PROMPT_CACHE_SIZE)
def digest_prompt(body):
    """Return the block digests of a chat completion request, () for other bodies."""
    try:
        prompt = decode_json(body, Prompt)
    except UnreadableDocumentError:
        return ()
    return block_digests(" ".join(str(m.content) for m in prompt.messages).split())


def block_digests(words):
    """Return the digests of the leading blocks of `words`, at most `MAX_BLOCKS`."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digests = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        if len(digests) == MAX_BLOCKS:
            break
        state.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        digests.append(state.hexdigest())
    return tuple(digests)
