"""Server and client of the control interface between nodes.

Messages are NamedTuples encoded as msgpack arrays. A method is found by the type of its
request: `register_call` couples request and reply types under one name.
"""

import contextlib
import hmac
from concurrent import futures
from typing import Any, NamedTuple

import grpc
import msgspec
from result import Err, Ok

from pollenmount import task
from pollenmount.errors import ListenError, TransportError
from pollenmount.log import get_logger

__all__ = ["ControlClient", "ControlServer", "register_call"]

SERVICE = "pollenmount.Control"
KEY_HEADER = "pollenmount-key"
SERVER_THREADS = 64
MAX_CONCURRENT_CALLS = 1024
CLIENT_GRACE_MS = 500
STOP_GRACE_S = 0.5
NOT_HANDLED_CODES = (grpc.StatusCode.UNIMPLEMENTED, grpc.StatusCode.UNAUTHENTICATED)
MAX_MESSAGE_BYTES = 64 << 20
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.enable_retries", 0),
    ("grpc.so_reuseport", 0),
)

logger = get_logger("bridge")


class CallType(NamedTuple):
    """One kind of call: its name and the types of its two messages."""

    name: str
    request: type
    reply: Any


CALL_TYPES_BY_NAME = {}
CALL_TYPES_BY_REQUEST = {}


def register_call(request, reply):
    """Couple a request type with its reply type."""
    call_type = CallType(request.__name__, request, reply)
    CALL_TYPES_BY_NAME[call_type.name] = call_type
    CALL_TYPES_BY_REQUEST[request] = call_type


class ControlServer(grpc.GenericRpcHandler):
    """Serves calls of peers on `address`.

    `handlers` maps request types to functions that take a request and return a reply;
    they run on the event loop. Peers prove themselves by `peer_key`.
    """

    def __init__(self, loop_executor, address, peer_key, handlers):
        self.loop_executor = loop_executor
        self.peer_key = peer_key
        self.handlers = {
            request_type.__name__: handlers[request_type] for request_type in handlers
        }
        pool = futures.ThreadPoolExecutor(SERVER_THREADS)
        self.server = grpc.server(
            pool,
            handlers=(self,),
            options=GRPC_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        )
        try:
            self.server.add_insecure_port(address)
        except RuntimeError as error:
            raise ListenError(address, "gRPC can't bind it") from error
        self.server.start()

    def service(self, handler_call_details):
        """Return the handler of one call (the interface of grpcio)."""
        name = handler_call_details.method.rpartition("/")[2]
        if name not in self.handlers:
            return None
        key = dict(handler_call_details.invocation_metadata).get(KEY_HEADER, "")
        if not hmac.compare_digest(key.encode(), self.peer_key.encode()):
            return grpc.unary_unary_rpc_method_handler(abort_unauthenticated)
        return grpc.unary_unary_rpc_method_handler(
            lambda data, context: self.serve_call(name, data, context)
        )

    def serve_call(self, name, data, context):
        """Decode, run the handler on the event loop and encode; on a gRPC thread."""
        try:
            request = msgspec.msgpack.decode(
                data, type=CALL_TYPES_BY_NAME[name].request
            )
        except (msgspec.DecodeError, UnicodeDecodeError):
            message = "the message can't be read; run one version on all VMs"
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, message)
        reply_future = futures.Future()
        self.loop_executor.post(self.run_handler, name, request, reply_future)
        try:
            reply = reply_future.result(context.time_remaining())
        except futures.TimeoutError:
            message = "the handler took too long; allow more time"
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, message)
        except Exception:
            message = "the handler failed; see the log of this VM"
            context.abort(grpc.StatusCode.INTERNAL, message)
        return msgspec.msgpack.encode(reply)

    def run_handler(self, name, request, reply_future):
        """Run the handler; on the event loop."""
        try:
            reply_future.set_result(self.handlers[name](request))
        except Exception as error:
            logger.exception("call of a peer failed", extra={"call": name})
            reply_future.set_exception(error)

    def close(self):
        """Stop serving, after a short grace for calls that run."""
        self.server.stop(STOP_GRACE_S)


def abort_unauthenticated(data, context):
    """Refuse a peer without the key."""
    context.abort(grpc.StatusCode.UNAUTHENTICATED, "set the same peer_key on all VMs")


class ControlClient:
    """Calls peers; one channel an address, closed with the client."""

    def __init__(self, loop_executor, peer_key):
        self.loop_executor = loop_executor
        self.metadata = ((KEY_HEADER, peer_key),)
        self.channels = {}

    def call(self, address, request, timeout_ms):
        """Send `request` to `address`; return Ok(reply) or Err(TransportError)."""
        call_type = CALL_TYPES_BY_REQUEST[type(request)]
        invoke = self.get_channel(address).unary_unary(f"/{SERVICE}/{call_type.name}")
        data = msgspec.msgpack.encode(request)
        future = invoke.future(
            data, timeout=timeout_ms / task.MS_PER_S, metadata=self.metadata
        )
        if not self.wait_until_done(future, timeout_ms + CLIENT_GRACE_MS):
            return Err(TransportError(address, "no reply in time", True))
        code = future.code()
        if code is not grpc.StatusCode.OK:
            return Err(
                TransportError(address, code.name, code not in NOT_HANDLED_CODES)
            )
        try:
            return Ok(msgspec.msgpack.decode(future.result(), type=call_type.reply))
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Err(TransportError(address, "unreadable reply", True))

    def wait_until_done(self, future, limit_ms):
        """Wait for a call to end; return whether it did within `limit_ms`.

        The limit is this side's own, so that it holds whatever gRPC does.
        """
        done = task.Event()
        future.add_done_callback(lambda _: self.loop_executor.post(done.send, None))
        with contextlib.ExitStack() as stack:
            stack.callback(future.cancel)
            with task.Timeout(limit_ms / task.MS_PER_S, False):
                done.wait()
                stack.pop_all()
                return True
        return False

    def get_channel(self, address):
        """Return the channel to `address`, made on first use."""
        if address not in self.channels:
            self.channels[address] = grpc.insecure_channel(
                address, options=GRPC_OPTIONS
            )
        return self.channels[address]

    def close(self):
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
