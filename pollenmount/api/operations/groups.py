"""Operations on replicated logs: the state of this node's replicas."""

from pollenmount.api.web import json_reply
from pollenmount.consensus.status import describe_group
from pollenmount.plugin import register


@register("pollenmount.api.operations", "GET /v1/groups")
def groups(kernel, request):
    """Return a row for each replica on this node.

    `confirmed` is true if the replica leads now and has applied all entries committed
    before.
    """
    rows = []
    for group in kernel.get("local_groups").values():
        confirmed = group.read_barrier()
        rows.append({**describe_group(group)._asdict(), "confirmed": confirmed})
    return json_reply({"groups": rows})
