"""Randomized soak: real VMs as processes, faults from outside, promises checked."""
