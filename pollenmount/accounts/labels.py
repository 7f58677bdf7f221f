"""Account names as metric labels, bounded in number."""

__all__ = ["AccountLabels"]

MAX_LABELS = 400
OTHER = "other"


class AccountLabels:
    """The first `MAX_LABELS` account names since the start; `other` for all others."""

    def __init__(self):
        self.names = set()

    def label(self, name):
        """Return the label for an account."""
        if name not in self.names:
            if len(self.names) >= MAX_LABELS:
                return OTHER
            self.names.add(name)
        return name
