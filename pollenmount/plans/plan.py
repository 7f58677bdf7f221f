"""The serving plan as immutable data, and look-ups in it."""

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
    """A model as a caller or a sheet names it: `name[@version][+adapter]`."""

    name: str
    version: str = ""
    adapter: str = ""


class Region(NamedTuple):
    """A region and its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


class Model(NamedTuple):
    """One version of a model, where it runs, and how its engines take orders."""

    name: str
    version: str
    adapters: tuple[str, ...]
    regions: tuple[str, ...]
    class_: str
    fencing: bool


class Service(NamedTuple):
    """One kind of call of a plain service. `repeat` is one of `REPEAT_MODES`."""

    name: str
    methods: tuple[str, ...]
    paths: tuple[str, ...]
    regions: tuple[str, ...]
    repeat: str
    class_: str


class Caller(NamedTuple):
    """One client account.

    `regions` are those where its data may be, `home` included. `rate` is requests per
    second, `tokens` generated tokens per minute, `concurrency` requests at a time; 0
    stands for no limit. `weighs` is `cost` or `latency`.
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
    """A whole plan. `digest` is of the canonical rows; `callers` is by key digest."""

    number: int
    digest: str
    regions: dict[str, Region]
    models: dict[str, tuple[Model, ...]]
    services: dict[str, Service]
    callers: dict[str, Caller]


def digest_key(key):
    """Return the digest under which a plan names a caller's or operator's key."""
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
    """Return the model that a `ModelName` means, or None.

    Without a version it is the first one in the sheet.
    """
    for model in plan.models.get(model_name.name, ()):
        if model_name.version in ("", model.version):
            has_adapter = not model_name.adapter or model_name.adapter in model.adapters
            return model if has_adapter else None
    return None


def get_service_by_path(plan, method, path):
    """Return the service with the longest path that covers `path`, or None."""
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
    """Return whether `path` is `prefix` or lies below it."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
