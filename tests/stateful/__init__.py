"""Stateful fuzzing against oracles."""
