"""Typed errors, each with the remedy in its message.

`PollenmountError` and its subclasses are raised for errors of configuration and use. A
request that cannot be answered ends in a `Refusal`, a value carried in `result.Err`.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "STOPPING_RETRY_MS",
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
    "stopping_refusal",
]

# Another VM can take the request at once.
STOPPING_RETRY_MS = 10


class PollenmountError(Exception):
    """Base of all errors raised by the package."""


class UnknownPluginError(PollenmountError):
    """No plug-in is registered under the name in the family."""


class UsageError(PollenmountError):
    """The arguments or flags of a command are invalid."""


class ListenError(PollenmountError):
    """A socket cannot listen on an address of the settings."""

    def __init__(self, address, problem):
        remedy = "stop the process that uses it, or correct 'listen' in the settings"
        super().__init__(f"can't listen on {address} ({problem}); {remedy}")


class Fault(NamedTuple):
    """One validation error of a document: its location, the problem, the remedy."""

    where: str
    problem: str
    remedy: str

    def __str__(self):
        return f"{self.where}: {self.problem}; {self.remedy}"


class InvalidDocumentError(PollenmountError):
    """A document has one or more validation errors, all of them listed."""

    def __init__(self, faults):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class SettingsError(InvalidDocumentError):
    """The settings file is invalid."""


class SheetError(InvalidDocumentError):
    """The plan sheet is invalid."""


class TransportError(NamedTuple):
    """A call to another VM that got no reply.

    `sent` is false only when it is certain that the peer never received the call.
    """

    address: str
    problem: str
    sent: bool


class RefusalKind(StrEnum):
    """Why a request was refused. The value is the `code` that the caller sees."""

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
    QUARANTINED = "quarantined"
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
    RefusalKind.QUARANTINED: 503,
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
    """The outcome of a request that gets no complete response.

    `not_run` is true only when it is certain that no target ran the request.
    `retry_after_ms` is 0 when a retry cannot help.
    """

    kind: RefusalKind
    message: str
    not_run: bool = True
    retry_after_ms: int = 0

    @property
    def status(self):
        """Return the HTTP status of this refusal."""
        return HTTP_STATUS[self.kind]


def stopping_refusal():
    """Return the refusal of a request that a VM which stops does not run."""
    message = "this VM is stopping; use another one"
    return Refusal(RefusalKind.STOPPING, message, True, STOPPING_RETRY_MS)
