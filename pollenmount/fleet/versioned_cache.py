"""Cache of look-ups in a table, invalidated when the table changes."""

__all__ = ["VersionedCache"]


class VersionedCache:
    """Results by key, all dropped when the value of `get_version()` changes."""

    def __init__(self, get_version):
        self.get_version = get_version
        self.cached_version = None
        self.results = {}

    def get(self, key, compute):
        """Return the cached result of `key`; call `compute` if there is none."""
        version = self.get_version()
        if self.cached_version != version:
            self.results = {}
            self.cached_version = version
        if key not in self.results:
            self.results[key] = compute()
        return self.results[key]
