"""Runs a call and converts its response into an HTTP reply."""

import contextlib
import json

from pollenmount import task
from pollenmount.api.endings import End, RequestEndedError
from pollenmount.api.web import Reply, cut_refusal, refusal_document, refusal_reply
from pollenmount.errors import Refusal
from pollenmount.log import get_logger
from pollenmount.routing import pipeline
from pollenmount.routing.request import ModelRoute, is_idempotent
from pollenmount.routing.tokens import count_tokens

__all__ = ["CallRunner"]

MS_PER_S = 1000
CALLER_GONE = "caller_gone"

logger = get_logger("calls")


class CallRunner:
    """Runs calls that callers sent to this node."""

    def __init__(self, kernel):
        self.kernel = kernel

    def run(self, call):
        """Return the reply to one call."""
        recorder = CallRecorder(self.kernel, call)
        refusal = self.kernel.get("admission").check(call.caller)
        if refusal:
            return self.refuse(recorder, refusal)
        stack = contextlib.ExitStack()
        with contextlib.ExitStack() as cleanup_on_error:
            cleanup_on_error.push(stack)
            stack.enter_context(self.kernel.get("admission").count_running(call.caller))
            parts = stack.enter_context(
                contextlib.closing(self.open_response(call, recorder))
            )
            try:
                head, rest = pipeline.split_first_part(parts)
            except task.Cancelled:
                recorder.record_outcome(CALLER_GONE)
                raise
            except RequestEndedError:
                recorder.record_outcome(End.CUT_AT_STOP)
                raise
            if isinstance(head, Refusal):
                return self.refuse(recorder, head)
            cleanup_on_error.pop_all()
        recorder.response_head = head
        headers = (
            *head.headers,
            ("X-Request-Id", call.id),
            ("Pollenmount-Request-Id", call.id),
            ("Pollenmount-Region", head.region),
            *([("Idempotency-Key", call.key)] if call.key else ()),
        )
        return Reply(head.status, headers, self.stream_body(stack, rest, recorder))

    def open_response(self, call, recorder):
        """Return a generator of the response parts, led by a head or a `Refusal`."""
        if is_idempotent(call.route):
            return self.serve(call, recorder)
        return self.kernel.get("actions").run(
            call, lambda call_with_lease: self.serve(call_with_lease, recorder)
        )

    def serve(self, call, recorder):
        """Return the response parts from the best candidate, with retries on others."""
        kernel = self.kernel
        retries = kernel.get("metrics").retries.labels(call.caller.name, call.class_)
        return kernel.get("router").serve(
            call, on_retry=retries.inc, on_start=recorder.record_first_attempt
        )

    def stream_body(self, stack, parts, recorder):
        """Yield the bytes of a response; append an error event if it breaks off."""
        with stack:
            outcome = CALLER_GONE
            try:
                for part in parts:
                    recorder.record_chunk(part.data)
                    yield part.data
                outcome = "answered"
            except RequestEndedError:
                outcome = End.CUT_AT_STOP
                yield error_event(cut_refusal())
                raise
            except pipeline.BrokenResponseError as error:
                outcome = str(error.refusal.kind)
                yield error_event(error.refusal)
                # Re-raised, so that the HTTP reply ends without its final chunk.
                raise
            finally:
                recorder.record_outcome(outcome)

    def refuse(self, recorder, refusal):
        """Return the reply for a call that is refused."""
        call = recorder.call
        recorder.record_outcome(str(refusal.kind))
        extra = [("X-Request-Id", call.id), ("Pollenmount-Request-Id", call.id)]
        if call.key:
            extra.append(("Idempotency-Key", call.key))
        return refusal_reply(refusal, extra)


def error_event(refusal):
    """Return the server-sent event that ends a broken stream."""
    document = json.dumps(refusal_document(refusal))
    return f"event: error\ndata: {document}\n\n".encode()


class CallRecorder:
    """Records the metrics of one call and logs its outcome."""

    def __init__(self, kernel, call):
        self.kernel = kernel
        self.call = call
        self.response_head = None
        self.admission = kernel.get("admission")
        self.started_at = kernel.clock.now()
        self.last_chunk_at = None
        self.byte_count = len(call.body)
        labels = (call.caller.name, call.class_)
        self.first_token = kernel.get("metrics").first_token.labels(*labels)
        self.token_gap = kernel.get("metrics").token_gap.labels(*labels)

    def record_first_attempt(self):
        """Record how long the call waited for its first attempt."""
        waited_ms = self.kernel.clock.now() - self.started_at
        labels = (self.call.caller.name, self.call.class_)
        self.kernel.get("metrics").queue_wait.labels(*labels).observe(
            waited_ms / MS_PER_S
        )

    def charge_tokens(self, data):
        """Charge the tokens of one chunk to the caller's budget, if it has one."""
        caller = self.call.caller
        if caller.tokens and isinstance(self.call.route, ModelRoute):
            self.admission.charge_tokens(caller, count_tokens(self.call, data))

    def record_chunk(self, data):
        """Record the size, tokens and time of one chunk."""
        self.byte_count += len(data)
        self.charge_tokens(data)
        now = self.kernel.clock.now()
        if self.last_chunk_at is None:
            self.first_token.observe((now - self.started_at) / MS_PER_S)
        else:
            self.token_gap.observe((now - self.last_chunk_at) / MS_PER_S)
        self.last_chunk_at = now

    def record_outcome(self, outcome):
        """Count and log the outcome of the call."""
        call, metrics = self.call, self.kernel.get("metrics")
        labels = (call.caller.name, call.class_)
        elapsed_ms = self.kernel.clock.now() - self.started_at
        metrics.outcomes.labels(*labels, outcome).inc()
        if outcome == "answered":
            metrics.whole_answer.labels(*labels).observe(elapsed_ms / MS_PER_S)
        if self.response_head:
            self.count_region(outcome)
        logger.info(
            "call ended",
            extra={
                "request": call.id,
                "caller": call.caller.name,
                "class": call.class_,
                "outcome": outcome,
                "elapsed_ms": elapsed_ms,
                "ran_in": self.response_head.region if self.response_head else "",
                "target": self.response_head.target if self.response_head else "",
                "plan": self.kernel.get("plans").number,
            },
        )

    def count_region(self, outcome):
        """Count the region that ran the call; a replayed response has no region."""
        call, region = self.call, self.response_head.region
        metrics = self.kernel.get("metrics")
        if region and outcome == "answered":
            metrics.served_in.labels(call.caller.name, call.caller.home, region).inc()
        if region not in ("", self.kernel.settings.region):
            metrics.region_bytes.labels(region).inc(self.byte_count)
