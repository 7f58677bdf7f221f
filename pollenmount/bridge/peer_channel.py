"""The gRPC channel to one peer, which is replaced once its connection has gone silent.

A peer that lost power, or a path that was cut, leaves a TCP connection that is dead
without a reset. gRPC keeps it until TCP gives up, which takes minutes, or until TCP's
next retransmission meets the restarted peer, which may take as long as the peer was
down. Meanwhile a new connection would work.
"""

import grpc

__all__ = ["PeerChannel"]

# Longer than a reply may take between regions, shorter than the time-outs of calls.
MAX_SILENCE_MS = 800


class PeerChannel:
    """Channel to `address`, with the gRPC `options`.

    `silent_since` is when the first of the calls started that no reply has followed
    yet, on any call; None if there is none.
    """

    def __init__(self, address, options, clock):
        self.address = address
        self.options = (*options, ("grpc.use_local_subchannel_pool", 1))
        self.clock = clock
        self.silent_since = None
        self.channel = self.open()

    def open(self):
        """Return a new gRPC channel, with a connection of its own."""
        return grpc.insecure_channel(self.address, options=self.options)

    def start_call(self, path, data, timeout_s, metadata):
        """Start a call; return its gRPC future."""
        if self.silent_since is None:
            self.silent_since = self.clock.now()
        invoke = self.channel.unary_unary(path)
        return invoke.future(data, timeout=timeout_s, metadata=metadata)

    def record_end(self):
        """Record that a call ended by a reply, or by an error that gRPC has seen."""
        self.silent_since = None

    def record_silence(self):
        """Record that a call got no reply; return whether the channel was replaced."""
        if self.silent_since is None:
            return False
        if self.clock.now() - self.silent_since < MAX_SILENCE_MS:
            return False
        self.channel.close()
        self.channel = self.open()
        self.silent_since = None
        return True

    def close(self):
        """Close the channel; running calls are cancelled."""
        self.channel.close()
