"""Base class of commands, and the client of the operators' HTTP interface."""

import contextlib
import json
import os

import urllib3
from absl import flags

from pollenmount.errors import PollenmountError
from pollenmount.wire.strict import make_pool_manager

__all__ = [
    "Command",
    "NodeError",
    "OperatorClient",
    "define_node_flag",
    "format_table",
    "request_json",
]

OPERATOR_KEY_VARIABLE = "POLLENMOUNT_OPERATOR_KEY"
REQUEST_TIMEOUT_S = 15.0
# Far more than the longest list of a node.
MAX_RESPONSE_BYTES = 16 << 20
READ_CHUNK_BYTES = 65_536


class NodeError(PollenmountError):
    """A node can't be queried, or its response is not valid."""


class Command:
    """Base class of commands.

    `define_flags` adds its flags. `run` is called with the values of the flags and the
    remaining arguments.
    """

    def define_flags(self, flag_values):
        """Define the flags of this command in `flag_values`."""

    def run(self, flag_values, args):
        """Run the command and return the exit status."""
        raise NotImplementedError


def define_node_flag(flag_values):
    """Define the flag that names the node to send requests to."""
    flags.DEFINE_string(
        "node",
        "127.0.0.1:8082",
        "operators' address of a node (any will do)",
        flag_values=flag_values,
    )


class OperatorClient:
    """Sends requests to the operators' interface of one node.

    The key is read from the environment, so that it does not appear in process lists.
    """

    def __init__(self, address):
        self.base_url = f"http://{address}"
        self.key = os.environ.get(OPERATOR_KEY_VARIABLE, "")

    def request(self, method, path, body=None):
        """Return the status and JSON document of a response, or raise `NodeError`."""
        if not self.key:
            problem = f"{OPERATOR_KEY_VARIABLE} is not set"
            raise NodeError(f"{problem}; set it to your operator key")
        headers = {"Authorization": f"Bearer {self.key}"}
        return request_json(
            *(method, self.base_url + path),
            *("name another VM with --node", "see listen.operators in settings"),
            body=body,
            headers=headers,
        )


def request_json(method, url, no_response_remedy, no_json_remedy, **options):
    """Return the status and JSON document of a response, or raise `NodeError`.

    The error ends in `no_response_remedy` if the request fails, and in `no_json_remedy`
    if the response is not JSON.
    """
    pool = make_pool_manager(retries=False, timeout=REQUEST_TIMEOUT_S)
    try:
        response = pool.request(method, url, preload_content=False, **options)
        with contextlib.closing(response):
            return response.status, json.loads(read_bounded(response))
    except urllib3.exceptions.HTTPError as error:
        problem = f"{url} does not answer ({type(error).__name__})"
        raise NodeError(f"{problem}; {no_response_remedy}") from error
    except ValueError as error:
        raise NodeError(
            f"the response of {url} is not JSON; {no_json_remedy}"
        ) from error


def read_bounded(response):
    """Return the body of a response; raise `ValueError` if it is too long."""
    body = bytearray()
    for part in response.stream(READ_CHUNK_BYTES):
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError("the response is too long")
    return bytes(body)


def format_table(header, rows):
    """Return a header and rows of strings as lines with aligned columns."""
    table = [header, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    )
