"""Decimal numbers in headers, which peers may send in any length."""

import re

__all__ = ["MAX_PORT", "parse_decimal", "parse_port"]

MAX_PORT = 65_535
DECIMAL = re.compile(r"[0-9]{1,18}", re.ASCII)


def parse_decimal(text, limit=None):
    """Return a number of up to 18 digits, None for other texts or if over `limit`."""
    if not DECIMAL.fullmatch(text):
        return None
    number = int(text)
    return None if limit is not None and number > limit else number


def parse_port(text):
    """Return the number of a TCP port, None if the text is none."""
    return parse_decimal(text, MAX_PORT) or None
