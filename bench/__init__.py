"""Benchmarks and simulations; no test depends on a time measured here."""
