"""Routing of a request: admission, choice of a target, attempts and retries."""
