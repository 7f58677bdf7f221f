"""Policies that pick a candidate for a call, one a module."""
