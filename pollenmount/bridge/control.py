"""gRPC server and client of the control interface between nodes.

Messages are NamedTuples encoded as msgpack arrays. The class name of the request is the
name of the gRPC method; `register_call` maps it to the types of request and reply.
"""

import contextlib
import hmac
from concurrent import futures
from typing import Any, NamedTuple

import grpc
import msgspec
from result import Err, Ok

from pollenmount import task
from pollenmount.bridge.peer_channel import PeerChannel
from pollenmount.clock import Clock
from pollenmount.documents import UnreadableDocumentError, decode_msgpack
from pollenmount.errors import ListenError, TransportError
from pollenmount.log import get_logger

__all__ = ["ControlClient", "ControlServer", "register_call"]

SERVICE = "pollenmount.Control"
KEY_HEADER = "pollenmount-key"
SERVER_THREADS = 64
MAX_CONCURRENT_CALLS = 1024
# How long the client waits beyond the timeout that it gives to gRPC.
CLIENT_GRACE_MS = 500
STOP_GRACE_S = 0.5
# Status codes that prove that no handler ran the call.
NOT_HANDLED_CODES = (grpc.StatusCode.UNIMPLEMENTED, grpc.StatusCode.UNAUTHENTICATED)
MAX_MESSAGE_BYTES = 64 << 20
# Several round trips between regions, until the first bytes of the peer have come.
CONNECT_TIMEOUT_MS = 500
GRPC_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    # gRPC's name for the least time that it gives an attempt to connect.
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.enable_retries", 0),
    ("grpc.so_reuseport", 0),
)

logger = get_logger("bridge")


class CallType(NamedTuple):
    """A kind of call: its method name and the types of request and reply."""

    name: str
    request: type
    reply: Any


CALL_TYPES_BY_NAME = {}
CALL_TYPES_BY_REQUEST = {}


def register_call(request, reply):
    """Register a call by the type of its request, with the type of its reply."""
    call_type = CallType(request.__name__, request, reply)
    CALL_TYPES_BY_NAME[call_type.name] = call_type
    CALL_TYPES_BY_REQUEST[request] = call_type


class ControlServer(grpc.GenericRpcHandler):
    """Serves the calls of peers on `address`.

    `handlers` maps request types to functions that take a request and return a reply;
    they run on the event loop. Peers authenticate with `peer_key`.
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
            raise ListenError(address, "gRPC can't bind to it") from error
        self.server.start()

    def service(self, handler_call_details):
        """Return the gRPC handler of a call; overrides `GenericRpcHandler`."""
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
        """Return the encoded reply; runs on a gRPC thread, the handler on the loop."""
        try:
            request = decode_msgpack(data, CALL_TYPES_BY_NAME[name].request)
        except UnreadableDocumentError as error:
            self.loop_executor.post(log_unreadable, name, str(error))
            message = "the message can't be decoded; run the same version on all VMs"
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, message)
        reply_future = futures.Future()
        self.loop_executor.post(self.run_handler, name, request, reply_future)
        try:
            reply = reply_future.result(context.time_remaining())
        except futures.TimeoutError:
            message = "the handler exceeded the deadline; use a longer timeout"
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, message)
        except Exception:
            message = "the handler raised an exception; see the log of this VM"
            context.abort(grpc.StatusCode.INTERNAL, message)
        return msgspec.msgpack.encode(reply)

    def run_handler(self, name, request, reply_future):
        """Run the handler and complete `reply_future`; runs on the event loop."""
        try:
            reply_future.set_result(self.handlers[name](request))
        except Exception as error:
            logger.exception(
                "handler of a call from a peer failed", extra={"call": name}
            )
            reply_future.set_exception(error)

    def close(self):
        """Stop the server; running calls get a short grace period to finish."""
        self.server.stop(STOP_GRACE_S)


def log_unreadable(name, problem):
    """Log a call that can't be decoded; runs on the event loop, as all logging."""
    fields = {"call": name, "problem": problem}
    logger.warning("call from a peer can't be decoded", extra=fields)


def abort_unauthenticated(data, context):
    """Abort the call of a peer that sent no key or a wrong one."""
    context.abort(
        grpc.StatusCode.UNAUTHENTICATED,
        "wrong or missing peer key; set the same peer_key on all VMs",
    )


class ControlClient:
    """Calls peers, over one channel for each address."""

    def __init__(self, loop_executor, peer_key):
        self.loop_executor = loop_executor
        self.metadata = ((KEY_HEADER, peer_key),)
        self.clock = Clock()
        self.channels = {}

    def call(self, address, request, timeout_ms):
        """Send `request` to `address`; return Ok(reply) or Err(TransportError)."""
        call_type = CALL_TYPES_BY_REQUEST[type(request)]
        channel = self.get_channel(address)
        future = channel.start_call(
            f"/{SERVICE}/{call_type.name}",
            msgspec.msgpack.encode(request),
            timeout_ms / task.MS_PER_S,
            self.metadata,
        )
        if not self.wait_until_done(future, timeout_ms + CLIENT_GRACE_MS):
            self.handle_silence(channel)
            return Err(TransportError(address, "no reply in time", True))
        code = future.code()
        if code is grpc.StatusCode.DEADLINE_EXCEEDED:
            self.handle_silence(channel)
        elif code is not grpc.StatusCode.CANCELLED:
            channel.record_end()
        if code is not grpc.StatusCode.OK:
            return Err(
                TransportError(address, code.name, code not in NOT_HANDLED_CODES)
            )
        try:
            return Ok(decode_msgpack(future.result(), call_type.reply))
        except UnreadableDocumentError:
            return Err(TransportError(address, "unreadable reply", True))

    def handle_silence(self, channel):
        """Replace a channel on which nothing has come for too long."""
        if channel.record_silence():
            logger.info("channel replaced", extra={"address": channel.address})

    def wait_until_done(self, future, limit_ms):
        """Wait until a call ends; return false if it takes longer than `limit_ms`.

        The limit does not depend on gRPC, so it holds even if gRPC never ends the call.
        A call that exceeds it is cancelled.
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
        """Return the channel to `address`, opened on first use."""
        if address not in self.channels:
            self.channels[address] = PeerChannel(address, GRPC_OPTIONS, self.clock)
        return self.channels[address]

    def close(self):
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
