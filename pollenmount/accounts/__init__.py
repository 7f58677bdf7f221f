"""Client accounts of a plan of routes: identification by key, and quotas."""
