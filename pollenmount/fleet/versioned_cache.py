"""Look-ups in a table that stay right until the table changes."""

__all__ = ["VersionedCache"]


class VersionedCache:
    """Results by key; all are dropped when `version()` returns another number."""

    def __init__(self, version):
        self.version = version
        self.made_for = None
        self.results = {}

    def get(self, key, find):
        """Return what `find` returned for `key` since the table last changed."""
        version = self.version()
        if self.made_for != version:
            self.results = {}
            self.made_for = version
        if key not in self.results:
            self.results[key] = find()
        return self.results[key]
