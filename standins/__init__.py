"""Fake targets (stand-ins) for the demonstration, the tests and the benchmarks."""
