"""Typed errors, each with the remedy in its message.

`PollenmountError` and its kinds are raised for faults of set-up and use. A request that
is not answered ends in a `Refusal`, a value carried in `result.Err`.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Fault",
    "InvalidDocumentError",
    "ListenError",
    "PollenmountError",
    "Refusal",
    "RefusalKind",
    "SettingsError",
    "SheetError",
    "TransportError",
    "UnknownPluginError",
    "UsageError",
]


class PollenmountError(Exception):
    """Base of all errors raised by the package."""


class UnknownPluginError(PollenmountError):
    """No plug-in of that name is registered in the family."""


class UsageError(PollenmountError):
    """The words or flags of a command can't be used."""


class ListenError(PollenmountError):
    """An address of the settings can't be listened on."""

    def __init__(self, address, problem):
        remedy = "end what uses it, or correct 'listen' in the settings"
        super().__init__(f"can't listen on {address} ({problem}); {remedy}")


class Fault(NamedTuple):
    """One fault of a document: where it is, what is wrong, what to do."""

    where: str
    problem: str
    remedy: str

    def __str__(self):
        return f"{self.where}: {self.problem}; {self.remedy}"


class InvalidDocumentError(PollenmountError):
    """A document with one or more faults, all of them listed."""

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class SettingsError(InvalidDocumentError):
    """The settings file can't be used."""


class SheetError(InvalidDocumentError):
    """The plan sheet can't be applied."""


class TransportError(NamedTuple):
    """A call to another VM that brought no reply.

    `sent` is false only when it is proved that the peer never got the call.
    """

    address: str
    problem: str
    sent: bool


class RefusalKind(StrEnum):
    """Why a request got no answer. The value is the `code` that the caller sees."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_ALLOWED = "not_allowed"
    MISDIRECTED = "misdirected"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PATH = "unknown_path"
    SLOW_REQUEST = "slow_request"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    KEY_CONFLICT = "key_conflict"
    IN_PROGRESS = "in_progress"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    NO_PLAN = "no_plan"
    NO_QUORUM = "no_quorum"
    STOPPING = "stopping"
    DEADLINE = "deadline"
    TARGET_FAILED = "target_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_GONE = "answer_gone"
    INTERNAL = "internal"


HTTP_STATUS = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNAUTHENTICATED: 401,
    RefusalKind.NOT_ALLOWED: 403,
    RefusalKind.MISDIRECTED: 421,
    RefusalKind.UNKNOWN_MODEL: 404,
    RefusalKind.UNKNOWN_PATH: 404,
    RefusalKind.SLOW_REQUEST: 408,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.HEADERS_TOO_LARGE: 431,
    RefusalKind.KEY_CONFLICT: 409,
    RefusalKind.IN_PROGRESS: 409,
    RefusalKind.RATE_LIMITED: 429,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.NO_TARGET: 503,
    RefusalKind.NO_PLAN: 503,
    RefusalKind.NO_QUORUM: 503,
    RefusalKind.STOPPING: 503,
    RefusalKind.DEADLINE: 504,
    RefusalKind.TARGET_FAILED: 502,
    RefusalKind.OUTCOME_UNKNOWN: 502,
    RefusalKind.ANSWER_GONE: 410,
    RefusalKind.INTERNAL: 500,
}


class Refusal(NamedTuple):
    """The final answer of a request that has no whole answer.

    `not_run` is true only when it is proved that no target ran the request.
    `retry_after_ms` is 0 when coming back can't help.
    """

    kind: RefusalKind
    message: str
    not_run: bool = True
    retry_after_ms: int = 0

    @property
    def status(self):
        """Return the HTTP status of this refusal."""
        return HTTP_STATUS[self.kind]
