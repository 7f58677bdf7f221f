"""Routing policies, each of which picks a candidate for a call, one per module."""
