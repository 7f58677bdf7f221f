"""Choosers of the destination of a request, one per module.

All but `expected_time` are baselines for comparison, which use less data.
"""
