"""Immutable client accounts, and their look-up by key."""

import hashlib
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Account", "Quota", "QuotaUnit", "digest_key", "index_accounts"]


class QuotaUnit(StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(NamedTuple):
    """Limit on the requests of an account, over all entry VMs together.

    It admits a cost of `per_s` a second and `burst` more at once. A request costs 1, or
    its tokens: `default_tokens` if it doesn't tell how many it has.
    """

    per_s: float
    burst: float
    unit: QuotaUnit
    default_tokens: int = 0

    def cost(self, prompt):
        """Return the cost of a request with this `Prompt`, None for a plain call."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        if prompt is None:
            return self.default_tokens
        return prompt.tokens + prompt.output_tokens


class Account(NamedTuple):
    """A client account.

    Keys are kept as digests only. `priority` replaces that of a route, None to keep the
    route's. `homes` are the only regions that may serve it (all if empty).
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None
    homes: tuple[str, ...]
    quota: Quota | None


def digest_key(key):
    """Return the digest by which an account is found; its time doesn't tell the key."""
    return hashlib.sha256(key.encode("latin-1", "backslashreplace")).digest()


def index_accounts(accounts):
    """Return the accounts by the digests of their keys."""
    return {digest: account for account in accounts for digest in account.key_digests}
