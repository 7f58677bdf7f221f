"""WSGI handlers, one module for each kind of peer."""
