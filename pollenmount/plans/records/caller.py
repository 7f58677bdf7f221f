"""Rows that define a client account, its rights and its limits."""

from pollenmount.plans import cells
from pollenmount.plans.plan import COST, LATENCY, Caller, parse_model_name
from pollenmount.plans.records.base import Record, check_known
from pollenmount.plugin import register

DIGEST_PATTERN = "[0-9a-f]{64}"


@register("pollenmount.plans.records", "caller")
class CallerRecord(Record):
    """A caller: its name, key, home, regions, rights and limits.

    `regions`
        Where its data may be besides its home (default nowhere).
    `uses`
        Models (`name[@version][+adapter]`, `+*` for every adapter) and services.
    `weighs`
        `cost` or `latency` (default).
    `rate`, `concurrency`, `tokens`
        Requests per second, concurrent requests and generated tokens per minute
        (default 0, no limit).
    """

    columns = (
        *("name", "key_sha256", "home", "regions", "uses", "weighs"),
        *("rate", "concurrency", "tokens"),
    )

    def parse(self, row):
        """Return a `Caller`."""
        home = cells.get_name(row, "home")
        away = cells.get_names(row, "regions", "")
        remedy = "use the SHA-256 of the key: 64 lower-case hexadecimal digits"
        return Caller(
            name=cells.get_name(row),
            key_digest=cells.get_pattern(row, "key_sha256", DIGEST_PATTERN, remedy),
            home=home,
            regions=(home, *(region for region in away if region != home)),
            uses=cells.get_list(row, "uses"),
            weighs=cells.get_choice(row, "weighs", (COST, LATENCY), LATENCY),
            rate=cells.get_int(row, "rate", 0),
            concurrency=cells.get_int(row, "concurrency", 0),
            tokens=cells.get_int(row, "tokens", 0),
        )

    def check(self, parsed, sheet):
        """Check that regions, models and services are in the sheet."""
        check_known("home", parsed.regions[:1], sheet.regions)
        check_known("regions", parsed.regions[1:], sheet.regions)
        names = [parse_model_name(use).name for use in parsed.uses]
        check_known("uses", names, {*sheet.models, *sheet.services})
