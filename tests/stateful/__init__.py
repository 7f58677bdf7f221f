"""Fuzzing of decisions against simple oracles."""
