"""Calls between nodes over gRPC; the only package that deals with native threads."""
