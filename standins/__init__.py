"""Small stand-ins for targets, for the demonstration, tests and benchmarks."""
