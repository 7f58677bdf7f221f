"""Cluster membership: gossip, failure detection and distribution of plans."""
