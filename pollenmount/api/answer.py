"""Runs a call and turns the parts of its answer into an HTTP reply."""

import contextlib
import json

from pollenmount import task
from pollenmount.api.web import Reply, refusal_document, refusal_reply
from pollenmount.errors import Refusal
from pollenmount.log import get_logger
from pollenmount.routing import pipeline
from pollenmount.routing.request import ModelRoute, is_idempotent
from pollenmount.routing.tokens import count_tokens

__all__ = ["Answerer"]

MS_PER_S = 1000
CALLER_GONE = "caller_gone"

logger = get_logger("calls")


class Answerer:
    """Runs calls that entered at this node."""

    def __init__(self, kernel):
        self.kernel = kernel

    def answer(self, call):
        """Return the reply to one call."""
        record = Record(self.kernel, call)
        refusal = self.kernel.get("admission").check(call.caller)
        if refusal:
            return self.refuse(record, refusal)
        stack = contextlib.ExitStack()
        with contextlib.ExitStack() as guard:
            guard.push(stack)
            stack.enter_context(self.kernel.get("admission").count_running(call.caller))
            parts = stack.enter_context(contextlib.closing(self.parts(call, record)))
            try:
                first, rest = pipeline.split_first_part(parts)
            except task.Cancelled:
                record.end(CALLER_GONE)
                raise
            if isinstance(first, Refusal):
                return self.refuse(record, first)
            guard.pop_all()
        record.head = first
        headers = (
            *first.headers,
            ("X-Request-Id", call.id),
            ("Pollenmount-Request-Id", call.id),
            ("Pollenmount-Region", first.region),
            *([("Idempotency-Key", call.key)] if call.key else ()),
        )
        return Reply(first.status, headers, self.body(stack, rest, record))

    def parts(self, call, record):
        """Return the generator of the answer's parts."""
        if is_idempotent(call.route):
            return self.serve(call, record)
        return self.kernel.get("actions").run(
            call, lambda guarded: self.serve(guarded, record)
        )

    def serve(self, call, record):
        """Return the parts of an answer from the best candidate."""
        kernel = self.kernel
        retries = kernel.get("metrics").retries.labels(call.caller.name, call.class_)
        return kernel.get("router").serve(
            call, on_retry=retries.inc, on_start=record.start
        )

    def body(self, stack, parts, record):
        """Yield the bytes of an answer; an answer that breaks ends in an error."""
        with stack:
            outcome = CALLER_GONE
            try:
                for part in parts:
                    record.chunk(part.data)
                    yield part.data
                outcome = "answered"
            except pipeline.BrokenAnswerError as error:
                outcome = str(error.refusal.kind)
                yield error_event(error.refusal)
                # Raised on, so that the reply gets no regular end either.
                raise
            finally:
                record.end(outcome)

    def refuse(self, record, refusal):
        """Return the reply for a call that got no answer."""
        call = record.call
        record.end(str(refusal.kind))
        extra = [("X-Request-Id", call.id), ("Pollenmount-Request-Id", call.id)]
        if call.key:
            extra.append(("Idempotency-Key", call.key))
        return refusal_reply(refusal, extra)


def error_event(refusal):
    """Return the event that ends a broken stream."""
    document = json.dumps(refusal_document(refusal))
    return f"event: error\ndata: {document}\n\n".encode()


class Record:
    """Measures one call and logs its end."""

    def __init__(self, kernel, call):
        self.kernel = kernel
        self.call = call
        self.head = None
        self.admission = kernel.get("admission")
        self.started = kernel.clock.now()
        self.last = None
        self.bytes = len(call.body)
        labels = (call.caller.name, call.class_)
        self.first_token = kernel.get("metrics").first_token.labels(*labels)
        self.token_gap = kernel.get("metrics").token_gap.labels(*labels)

    def start(self):
        """Measure how long the call waited for its first attempt."""
        waited = self.kernel.clock.now() - self.started
        labels = (self.call.caller.name, self.call.class_)
        self.kernel.get("metrics").queue_wait.labels(*labels).observe(waited / MS_PER_S)

    def count(self, data):
        """Take the tokens of one part off the caller's budget, if it has one."""
        caller = self.call.caller
        if caller.tokens and isinstance(self.call.route, ModelRoute):
            self.admission.charge_tokens(caller, count_tokens(self.call, data))

    def chunk(self, data):
        """Measure one chunk."""
        self.bytes += len(data)
        self.count(data)
        now = self.kernel.clock.now()
        if self.last is None:
            self.first_token.observe((now - self.started) / MS_PER_S)
        else:
            self.token_gap.observe((now - self.last) / MS_PER_S)
        self.last = now

    def end(self, outcome):
        """Count and log the end of the call."""
        call, metrics = self.call, self.kernel.get("metrics")
        labels = (call.caller.name, call.class_)
        elapsed = self.kernel.clock.now() - self.started
        metrics.outcomes.labels(*labels, outcome).inc()
        if outcome == "answered":
            metrics.whole_answer.labels(*labels).observe(elapsed / MS_PER_S)
        if self.head:
            self.count_region(outcome)
        logger.info(
            "call ended",
            extra={
                "request": call.id,
                "caller": call.caller.name,
                "class": call.class_,
                "outcome": outcome,
                "elapsed_ms": elapsed,
                "ran_in": self.head.region if self.head else "",
                "target": self.head.target if self.head else "",
                "plan": self.kernel.get("plans").number,
            },
        )

    def count_region(self, outcome):
        """Count where the call ran; a recorded answer ran nowhere this time."""
        call, region = self.call, self.head.region
        metrics = self.kernel.get("metrics")
        if region and outcome == "answered":
            metrics.served_in.labels(call.caller.name, call.caller.home, region).inc()
        if region not in ("", self.kernel.settings.region):
            metrics.region_bytes.labels(region).inc(self.bytes)
