"""Ways to choose where a request goes, one a module.

All but `expected_time` are baselines for comparison: they look at less.
"""
