"""Reads and updates the stored results of the benchmarks, bench/slopes.json.

The results are costs per unit of load, the slopes of a node's resource usage.
"""

import json
from pathlib import Path

__all__ = ["load", "update_stored_results"]

PATH = Path(__file__).with_name("slopes.json")


def load():
    """Return all stored results by name."""
    return json.loads(PATH.read_text()) if PATH.exists() else {}


def update_stored_results(**results):
    """Add or replace stored results, given by name."""
    text = json.dumps({**load(), **results}, indent=2, sort_keys=True)
    PATH.write_text(text + "\n")
