"""Randomized soak test: VMs as processes, external fault injection, invariants."""
