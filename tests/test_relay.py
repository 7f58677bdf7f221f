"""How the relay of the fault tests finds out who opened a connection."""

import contextlib
import os
import socket

from standins.relay import find_owner, find_socket_inode

LOOPBACK = "127.0.0.1"


class Process:
    """A process by its id."""

    def __init__(self, pid):
        self.pid = pid


@contextlib.contextmanager
def connections_from_one_address(count):
    """Yield sockets that share their local address, each with its own destination."""
    with contextlib.ExitStack() as stack:
        sockets = []
        local = (LOOPBACK, 0)
        for _ in range(count):
            listener = stack.enter_context(socket.create_server((LOOPBACK, 0)))
            client = stack.enter_context(socket.socket())
            client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            client.bind(local)
            client.connect(listener.getsockname())
            local = client.getsockname()
            sockets.append(client)
        yield sockets


def test_connections_that_share_a_local_address_are_told_apart():
    with connections_from_one_address(3) as sockets:
        for client in sockets:
            ends = client.getsockname(), client.getpeername()
            inode = find_socket_inode(*ends)
            assert inode == str(os.fstat(client.fileno()).st_ino)


def test_owner_of_a_connection_is_found():
    processes = {"other": Process(os.getppid()), "own": Process(os.getpid())}
    with connections_from_one_address(1) as (client,):
        ends = client.getsockname(), client.getpeername()
        assert find_owner(processes, *ends) == "own"


def test_owner_of_a_closed_connection_is_not_found():
    processes = {"own": Process(os.getpid())}
    with connections_from_one_address(1) as (client,):
        ends = client.getsockname(), client.getpeername()
        client.close()
        assert find_owner(processes, *ends) is None
