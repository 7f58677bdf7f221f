"""Kinds of stand-ins, one per module."""
