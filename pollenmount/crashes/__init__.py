"""Requests that crash targets: evidence of crashes, and quarantine of requests."""
