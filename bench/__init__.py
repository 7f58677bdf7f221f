"""Measurements; no test depends on a time measured here."""
