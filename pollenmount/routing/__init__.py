"""Way of one request from entry to answer."""
