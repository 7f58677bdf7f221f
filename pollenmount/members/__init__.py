"""Nodes that this node knows of."""
