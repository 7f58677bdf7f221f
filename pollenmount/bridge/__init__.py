"""Calls between nodes over gRPC; the only package that meets native threads."""
