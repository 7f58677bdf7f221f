"""Golden files of whole sessions, with real processes."""
