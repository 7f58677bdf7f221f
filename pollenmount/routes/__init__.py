"""Plans of routes: which service answers requests to a host and path."""
