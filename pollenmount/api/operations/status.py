"""Operations that show the state known to a node: status, entries, metrics."""

from pollenmount.api.entries import list_entries
from pollenmount.api.web import Reply, json_reply
from pollenmount.metrics import render
from pollenmount.plugin import register


@register("pollenmount.api.operations", "GET /v1/status")
def status(kernel, request):
    """Return the members and targets that this node knows."""
    in_flight = kernel.get("tracker").in_flight
    members = [member._asdict() for member in sorted(kernel.get("members").live())]
    targets = [
        {
            "name": target.announcement.name,
            "kind": target.announcement.kind,
            "running": target.announcement.running,
            "in_flight": in_flight(target.announcement.name),
        }
        for target in sorted(
            kernel.get("targets").live(), key=lambda t: t.announcement.name
        )
    ]
    return json_reply({"members": members, "targets": targets})


@register("pollenmount.api.operations", "GET /v1/entries")
def entries(kernel, request):
    """Return all entry VMs, as for a caller without a limit of regions."""
    settings = kernel.settings
    members = kernel.get("members").live()
    return json_reply(list_entries(members, settings.region, settings.failure_domain))


@register("pollenmount.api.operations", "GET /metrics")
def metrics(kernel, request):
    """Return the metrics in the Prometheus text format."""
    data = render(kernel.get("metrics").registry)
    return Reply(200, (("Content-Type", "text/plain; version=0.0.4"),), [data])
