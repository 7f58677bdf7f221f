"""HTTP interface for operators, with its own keys; each operation is a plug-in."""

import hmac

from pollenmount.api.web import refusal_reply
from pollenmount.errors import Refusal, RefusalKind
from pollenmount.plans.plan import digest_key
from pollenmount.plugin import load_family

__all__ = ["OperatorsApi"]

OPERATION_FAMILY = "pollenmount.api.operations"


class OperatorsApi:
    """Handles the requests of operators.

    Operations are registered as `METHOD /path`; each takes (kernel, request).
    """

    def __init__(self, kernel):
        self.kernel = kernel
        self.operations = load_family(OPERATION_FAMILY)

    def handle(self, request):
        """Return the reply to one request of an operator."""
        if not self.is_operator_key(request.bearer_token()):
            message = "unknown operator key; send it as 'Authorization: Bearer KEY'"
            return refusal_reply(Refusal(RefusalKind.UNAUTHENTICATED, message))
        operation = self.operations.get(f"{request.method} {request.path}")
        if operation is None:
            known = ", ".join(sorted(self.operations))
            refusal = Refusal(RefusalKind.UNKNOWN_PATH, f"use one of: {known}")
            return refusal_reply(refusal)
        return operation(self.kernel, request)

    def is_operator_key(self, key):
        """Return whether `key` is the key of an operator."""
        digest = digest_key(key)
        digests = self.kernel.settings.operator_keys.values()
        return any([hmac.compare_digest(digest, known) for known in digests])
