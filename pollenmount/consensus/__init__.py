"""Replicated logs: agreement, journal and groups."""
