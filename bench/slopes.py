"""The stored results of measurements: bench/slopes.json, by name."""

import json
from pathlib import Path

__all__ = ["load", "update_stored_results"]

PATH = Path(__file__).with_name("slopes.json")


def load():
    """Return all stored results."""
    return json.loads(PATH.read_text()) if PATH.exists() else {}


def update_stored_results(**results):
    """Add results to those stored."""
    text = json.dumps({**load(), **results}, indent=2, sort_keys=True)
    PATH.write_text(text + "\n")
