"""Generates requests of the two example deployments from a random seed."""

import json
import math
from functools import lru_cache
from typing import NamedTuple

from pollenmount.plans.plan import DEFERRED, INTERACTIVE, Caller, digest_key
from pollenmount.routing.request import Call, ModelRoute

__all__ = [
    "DEPLOYMENTS",
    "DeploymentProfile",
    "OfferedLoad",
    "count_answer_words",
    "make_call",
]

TEMPLATE_WORDS = 160
CASE_WORDS = 320
QUESTION_WORDS = 24
TEMPLATES = 4
CASES = 60
HOME_ONLY_SHARE = 0.24
DEADLINE_MS = {INTERACTIVE: 30_000, DEFERRED: 600_000}


class DeploymentProfile(NamedTuple):
    """Sizes and request mix of one deployment.

    `vms` and `targets` are counts by region; `median_answer_words` is the median length
    of a response by request class; `region_capacity_rps` is the number of requests a
    second that the targets of one region can serve.
    """

    name: str
    model: str
    vms: dict
    targets: dict
    slots: int
    interactive_share: float
    median_answer_words: dict
    streamed_share: float
    region_capacity_rps: float
    weighs: str


DEPLOYMENTS = {
    "inzira": DeploymentProfile(
        "inzira",
        "drafting",
        {"kigali": 3, "huye": 2, "musanze": 2},
        {"kigali": 3, "huye": 3, "musanze": 3},
        8,
        0.7,
        {INTERACTIVE: 30, DEFERRED: 150},
        0.9,
        16.0,
        "latency",
    ),
    "referentiehuis": DeploymentProfile(
        "referentiehuis",
        "summaries",
        {"nl-west": 3, "nl-east": 3, "nl-south": 2},
        {"nl-west": 2, "nl-east": 2, "nl-south": 2},
        8,
        0.25,
        {INTERACTIVE: 30, DEFERRED: 120},
        0.3,
        7.0,
        "cost",
    ),
}


class OfferedLoad(NamedTuple):
    """Offered load of the region at its peak and of the others.

    Both are fractions of `region_capacity_rps`.
    """

    peak: float = 1.15
    off_peak: float = 0.45
    duration_ms: int = 60_000


def count_answer_words(body):
    """Return the number of words that an engine generates for this request body."""
    return json.loads(body)["max_tokens"]


@lru_cache(4096)
def make_text(name, count):
    """Return a text of `count` words, the same for each use of a name."""
    return " ".join(f"{name}.{i}" for i in range(count))


def draw_class(rng, deployment):
    """Return a random request class."""
    return INTERACTIVE if rng.random() < deployment.interactive_share else DEFERRED


def make_body(rng, deployment, region, class_):
    """Return the body of a chat completion with a prompt on one of the region's cases.

    Prompts share a prefix if they use the same template, and a longer one if they are
    about the same case.
    """
    case = min(int(rng.expovariate(1 / (CASES / 4))), CASES - 1)
    words = deployment.median_answer_words[class_] * math.exp(rng.gauss(0, 0.5))
    text = " ".join(
        (
            make_text(f"form{case % TEMPLATES}", TEMPLATE_WORDS),
            make_text(f"{region}-case{case}", CASE_WORDS),
            make_text(f"question{rng.random()}", QUESTION_WORDS),
        )
    )
    document = {
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max(1, int(words)),
    }
    return json.dumps(document).encode()


def make_caller(deployment, region, home_only):
    """Return a caller of a region; its calls stay there if `home_only`."""
    regions = (region, *(r for r in deployment.vms if r != region))
    name = f"{'bound' if home_only else 'free'}-{region}"
    return Caller(
        name,
        digest_key(name),
        region,
        regions[:1] if home_only else regions,
        (deployment.model,),
        deployment.weighs,
        0,
        0,
        0,
    )


def make_call(rng, deployment, world, region, number):
    """Return a random call that arrives at the current time."""
    class_ = draw_class(rng, deployment)
    caller = make_caller(deployment, region, rng.random() < HOME_ONLY_SHARE)
    model = next(iter(world.plan.models.values()))[0]
    return Call(
        f"c{number}",
        world.register(caller),
        ModelRoute(model, ""),
        "POST",
        "/v1/chat/completions",
        (),
        make_body(rng, deployment, region, class_),
        class_,
        world.time.now() + DEADLINE_MS[class_],
        "",
        class_ == INTERACTIVE or rng.random() < deployment.streamed_share,
    )
