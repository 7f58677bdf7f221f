"""Snapshot tests of complete sessions with processes."""
