"""Kinds of stand-ins, one a module."""
