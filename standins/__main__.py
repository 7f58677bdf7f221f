"""Runs one stand-in: `python -m standins KIND --name=... --listen=... ...`."""

import sys

import eventlet

eventlet.monkey_patch()

from pollenmount.plugin import get_plugin_by_name  # noqa: E402
from standins import base  # noqa: E402


def main():
    """Run a stand-in of the kind given as the first argument."""
    kind = get_plugin_by_name(base.FAMILY, sys.argv[1])
    base.serve(kind(kind.parser().parse_args(sys.argv[2:])))


main()
