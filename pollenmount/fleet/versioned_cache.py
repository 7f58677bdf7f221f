"""Look-ups in a table that stay right until the table changes."""

__all__ = ["VersionedCache"]


class VersionedCache:
    """Results by key; all are dropped when `get_version()` returns another number."""

    def __init__(self, get_version):
        self.get_version = get_version
        self.cached_version = None
        self.results = {}

    def get(self, key, compute):
        """Return what `compute` returned for `key` since the table last changed."""
        version = self.get_version()
        if self.cached_version != version:
            self.results = {}
            self.cached_version = version
        if key not in self.results:
            self.results[key] = compute()
        return self.results[key]
