"""The serving plan as immutable data, and functions that search it."""

import hashlib
import hmac
from typing import NamedTuple

__all__ = [
    "CLASSES",
    "DEFERRED",
    "INTERACTIVE",
    "Caller",
    "Model",
    "ModelName",
    "Plan",
    "Region",
    "Service",
    "digest_key",
    "get_caller_by_key",
    "get_model_by_name",
    "get_service_by_path",
    "parse_model_name",
]

INTERACTIVE = "interactive"
DEFERRED = "deferred"
CLASSES = (INTERACTIVE, DEFERRED)

IDEMPOTENT = "idempotent"
ONCE = "once"
DEDUPLICATED = "deduplicated"
REPEAT_MODES = (IDEMPOTENT, ONCE, DEDUPLICATED)

COST = "cost"
LATENCY = "latency"


class ModelName(NamedTuple):
    """A model name in a request or sheet: `name[@version][+adapter]`."""

    name: str
    version: str = ""
    adapter: str = ""


class Region(NamedTuple):
    """A region and its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


class Model(NamedTuple):
    """One version of a model.

    `regions` are those where it runs. `class_` applies to requests that name none.
    `fencing` says whether its engines refuse orders with an old fencing number.
    """

    name: str
    version: str
    adapters: tuple[str, ...]
    regions: tuple[str, ...]
    class_: str
    fencing: bool


class Service(NamedTuple):
    """One kind of request to a plain service. `repeat` is one of `REPEAT_MODES`."""

    name: str
    methods: tuple[str, ...]
    paths: tuple[str, ...]
    regions: tuple[str, ...]
    repeat: str
    class_: str


class Caller(NamedTuple):
    """One client account.

    `regions` are those where its data may be, including `home`. `rate` is requests per
    second, `tokens` generated tokens per minute, `concurrency` concurrent requests; 0
    means no limit. `weighs` is what routing gives priority, `cost` or `latency`.
    """

    name: str
    key_digest: str
    home: str
    regions: tuple[str, ...]
    uses: tuple[str, ...]
    weighs: str
    rate: int
    concurrency: int
    tokens: int


class Plan(NamedTuple):
    """A complete plan. `digest` covers the canonical rows; `callers` is by digest."""

    number: int
    digest: str
    regions: dict[str, Region]
    models: dict[str, tuple[Model, ...]]
    services: dict[str, Service]
    callers: dict[str, Caller]


def digest_key(key):
    """Return the digest that identifies a caller's or operator's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def get_caller_by_key(plan, key):
    """Return the caller with this key, or None."""
    digest = digest_key(key)
    caller = plan.callers.get(digest)
    if caller and hmac.compare_digest(caller.key_digest, digest):
        return caller
    return None


def parse_model_name(text):
    """Return the parts of `name[@version][+adapter]`."""
    text, _, adapter = text.partition("+")
    name, _, version = text.partition("@")
    return ModelName(name, version, adapter)


def get_model_by_name(plan, model_name):
    """Return the model with this `ModelName`, or None.

    A name without a version selects the first version in the sheet.
    """
    for model in plan.models.get(model_name.name, ()):
        if model_name.version in ("", model.version):
            has_adapter = not model_name.adapter or model_name.adapter in model.adapters
            return model if has_adapter else None
    return None


def get_service_by_path(plan, method, path):
    """Return the service with the longest matching path prefix, or None."""
    found = None
    longest = -1
    for service in plan.services.values():
        if method not in service.methods:
            continue
        for prefix in service.paths:
            if covers(prefix, path) and len(prefix) > longest:
                found = service
                longest = len(prefix)
    return found


def covers(prefix, path):
    """Return whether `path` equals `prefix` or is below it."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
