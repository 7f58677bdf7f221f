"""Stand-in for a model engine.

It has slots, request priorities, a prefix cache, resumable streams, cancellation and
orders to load models. Computing takes real time: `--prefill-us` for each prompt word
that isn't cached, then `--token-ms` for each word of the response. The words depend on
the prompt only, so that a resumed or repeated stream can be compared with the first.

Faults besides those of all stand-ins: `cut_after` (number of words after which a stream
is cut) and `lose_cache_events` (announcements leave cache changes out).
"""

import hashlib
import heapq
import itertools
import json

import eventlet
import eventlet.event

from pollenmount.api.web import Reply, json_reply
from pollenmount.plugin import register
from pollenmount.routing.prefix import BLOCK_WORDS, block_digests
from standins.base import FAMILY, Standin

__all__ = ["Engine", "answer_words"]

DEFAULT_WORDS = 16
WORDS = ("the", "court", "may", "hear", "a", "claim", "when", "notice", "is", "given")
PRIORITY_CLASS = "interactive"


def answer_words(prompt, count):
    """Return the words of the response, which are the same on every engine."""
    digest = hashlib.sha256(prompt.encode()).digest()
    return [WORDS[digest[i % len(digest)] % len(WORDS)] for i in range(count)]


class Slots:
    """A semaphore granted by priority, then in order of arrival."""

    def __init__(self, count):
        self.free = count
        self.queue = []
        self.arrivals = itertools.count()

    def acquire(self, priority):
        """Wait for a slot; lower priority numbers are served first."""
        if self.free:
            self.free -= 1
            return
        granted = eventlet.event.Event()
        waiter = (priority, next(self.arrivals), granted)
        heapq.heappush(self.queue, waiter)
        try:
            granted.wait()
        except BaseException:
            self.cancel_wait(waiter)
            raise

    def cancel_wait(self, waiter):
        """Leave the queue, or release the slot if it was granted in the meantime."""
        if waiter in self.queue:
            self.queue.remove(waiter)
            heapq.heapify(self.queue)
        else:
            self.release()

    def release(self):
        """Give the slot to the first waiter, or mark it free."""
        if self.queue:
            heapq.heappop(self.queue)[2].send()
        else:
            self.free += 1


class PrefixCache:
    """LRU cache of prompt prefixes, keyed by the digest of each prefix block.

    `stored` and `evicted` are changes that haven't been announced yet;
    `reported_events` counts those that have.
    """

    def __init__(self, blocks):
        self.max_blocks = blocks
        self.blocks = {}
        self.stored = []
        self.evicted = []
        self.reported_events = 0

    def lookup(self, words):
        """Return the number of leading words that are cached, and cache all blocks."""
        digests = block_digests(words)
        missing = [digest for digest in digests if digest not in self.blocks]
        cached = digests.index(missing[0]) if missing else len(digests)
        self.stored += missing
        for digest in digests:
            self.blocks.pop(digest, None)
            self.blocks[digest] = True
        while len(self.blocks) > self.max_blocks:
            oldest = next(iter(self.blocks))
            del self.blocks[oldest]
            self.evicted.append(oldest)
        return cached * BLOCK_WORDS

    def take_events(self, full):
        """Return the changes since the last call, or with `full` all cached blocks."""
        first = self.reported_events
        self.reported_events += len(self.stored) + len(self.evicted)
        events = {"first": first, "stored": self.stored, "evicted": self.evicted}
        if full:
            events = {
                "first": self.reported_events,
                "stored": [*self.blocks],
                "whole": True,
            }
            self.reported_events += len(self.blocks)
        self.stored, self.evicted = [], []
        return events


@register(FAMILY, "engine")
class Engine(Standin):
    """A model engine that counts the words it computes and generates."""

    @classmethod
    def parser(cls):
        """Return the parser of the command-line flags."""
        parser = super().parser()
        parser.add_argument(
            "--models", required=True, help="names, separated by commas"
        )
        parser.add_argument("--prefill-us", type=float, default=200)
        parser.add_argument("--token-ms", type=float, default=5)
        parser.add_argument("--cache-blocks", type=int, default=4096)
        parser.add_argument("--fencing", action="store_true")
        return parser

    def __init__(self, args):
        super().__init__(args)
        self.slots = Slots(args.slots)
        self.cache = PrefixCache(args.cache_blocks)
        self.resync = False
        self.models = [parse_model(text) for text in args.models.split(",")]
        self.prompt_words = 0
        self.computed_words = 0
        self.generated_words = 0
        self.newest_fence = 0

    def capabilities(self):
        """Return the loaded models and the changes of the prefix cache."""
        events = self.cache.take_events(self.resync)
        self.resync = False
        capabilities = {"kind": "engine", "models": self.models, "resume": True}
        if not self.faults.get("lose_cache_events"):
            capabilities["cache"] = events
        return capabilities

    def handle_announce_reply(self, document):
        """Announce the whole cache next if an entry VM has missed cache changes."""
        self.resync = self.resync or document.get("cache_resync", False)

    def counts(self):
        """Return the counters and loaded models, with words computed and generated."""
        return {
            **super().counts(),
            "prompt_words": self.prompt_words,
            "computed_words": self.computed_words,
            "generated_words": self.generated_words,
            "models": self.models,
        }

    def run(self, request, body):
        """Run a chat completion or an order to load models."""
        if request.path == "/v1/orders":
            return self.apply_load_order(json.loads(body))
        request.cancel_on_disconnect()
        document = json.loads(body)
        prompt = " ".join(str(m.get("content", "")) for m in document["messages"])
        words = answer_words(prompt, document.get("max_tokens", DEFAULT_WORDS))
        resume_from = request.header("Pollenmount-Resume-From")
        words = words[int(resume_from or 0) :]
        priority = request.header("Pollenmount-Class") != PRIORITY_CLASS
        headers = self.request_id_headers(request)
        if resume_from:
            headers.append(("Pollenmount-Resume-From", resume_from))
        if not document.get("stream"):
            text = " ".join(self.generate(prompt, words, priority))
            message = {"role": "assistant", "content": text}
            answer = {"id": headers[0][1], "choices": [{"message": message}]}
            return json_reply(answer, 200, headers)
        headers.append(("Content-Type", "text/event-stream"))
        stream = self.stream(headers[0][1], self.generate(prompt, words, priority))
        return Reply(200, tuple(headers), stream)

    def generate(self, prompt, words, priority):
        """Yield the words of the response as they are generated; closing it cancels."""
        self.waiting += 1
        try:
            self.slots.acquire(priority)
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            prompt_words = prompt.split()
            uncached = len(prompt_words) - self.cache.lookup(prompt_words)
            self.prompt_words += len(prompt_words)
            self.computed_words += uncached
            eventlet.sleep(uncached * self.args.prefill_us / 1e6)
            for word in words:
                eventlet.sleep(self.args.token_ms / 1000)
                self.generated_words += 1
                yield word
        finally:
            self.running -= 1
            self.slots.release()

    def stream(self, answer_id, words):
        """Yield the server-sent events of a streamed response."""
        cut_after = self.faults.get("cut_after", -1)
        try:
            for index, word in enumerate(words):
                if index == cut_after:
                    raise ConnectionError("stream cut by the fault cut_after")
                choice = {"index": 0, "delta": {"content": f"{word} "}}
                event = json.dumps({"id": answer_id, "choices": [choice]})
                yield f"data: {event}\n\n".encode()
            yield b"data: [DONE]\n\n"
        finally:
            words.close()

    def apply_load_order(self, document):
        """Load the ordered models; with --fencing, refuse an old fencing number."""
        fence = document["fence"]
        if self.args.fencing and fence < self.newest_fence:
            return json_reply(
                {"error": "old fencing number", "fence": self.newest_fence}, 409
            )
        self.newest_fence = fence
        self.models = [parse_model(text) for text in document["models"]]
        return json_reply({"models": self.models})


def parse_model(text):
    """Parse `name@version[+adapter...]` into a model of an announcement."""
    name, *adapters = text.split("+")
    name, _, version = name.partition("@")
    return {"name": name, "version": version, "adapters": adapters}
