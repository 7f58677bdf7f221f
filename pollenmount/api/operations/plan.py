"""Operations on plans: apply, show and status."""

from result import Err

from pollenmount.api.web import json_reply, refusal_reply
from pollenmount.errors import Refusal, RefusalKind, SheetError
from pollenmount.plans.machine import GROUP, Acceptance, AcceptPlan, PlanAnswer
from pollenmount.plans.sheet import MAX_SHEET_BYTES, parse_sheet
from pollenmount.plugin import register

ACCEPTED = (Acceptance.ACCEPTED, Acceptance.REPEATED)
REMEDIES = {
    Acceptance.ACCEPTED: "see 'pollenmount plan status' for where it is in force",
    Acceptance.REPEATED: "it was accepted before; nothing changed",
    Acceptance.REPLACED: "a newer plan has replaced it; use a higher number",
    Acceptance.CONFLICT: "another sheet was accepted under this number; use a higher",
    Acceptance.STALE: "a newer plan is in force; use a higher number",
}


@register("pollenmount.api.operations", "PUT /v1/plan")
def apply_plan(kernel, request):
    """Propose a sheet to the log of plans and return the outcome."""
    sheet = request.read(MAX_SHEET_BYTES)
    if isinstance(sheet, Refusal):
        return refusal_reply(sheet)
    try:
        plan = parse_sheet(sheet)
    except SheetError as error:
        faults = [fault._asdict() for fault in error.faults]
        return json_reply({"error": {"code": "bad_sheet", "faults": faults}}, 400)
    command = AcceptPlan(plan.number, plan.digest, sheet)
    answer = kernel.get("group_client").propose(GROUP, command, PlanAnswer)
    if isinstance(answer, Err):
        return refusal_reply(answer.err_value)
    return acceptance_reply(answer.ok_value)


def acceptance_reply(answer):
    """Return the reply with the outcome of a proposed sheet."""
    document = {
        "acceptance": str(answer.acceptance),
        "number": answer.number,
        "digest": answer.digest,
        "remedy": REMEDIES[answer.acceptance],
    }
    return json_reply(document, 200 if answer.acceptance in ACCEPTED else 409)


@register("pollenmount.api.operations", "GET /v1/plan")
def show_plan(kernel, request):
    """Return the sheet of the plan in force on this node."""
    accepted = kernel.get("plans").accepted
    if accepted is None:
        message = "no plan is in force here; apply one"
        return refusal_reply(Refusal(RefusalKind.NO_PLAN, message))
    return json_reply(
        {
            "number": accepted.number,
            "digest": accepted.digest,
            "sheet": accepted.sheet.decode("utf-8-sig"),
        }
    )


@register("pollenmount.api.operations", "GET /v1/plan/status")
def plan_status(kernel, request):
    """Return, for each region, the VMs with the newest plan and those behind it."""
    members = kernel.get("members").live()
    newest = max(member.plan_number for member in members)
    regions = {}
    for member in members:
        row = regions.setdefault(member.region, {"in_force": [], "lagging": []})
        is_lagging = member.plan_number < newest
        row["lagging" if is_lagging else "in_force"].append(member.name)
    rows = [
        {"region": region, **{key: sorted(names) for key, names in row.items()}}
        for region, row in sorted(regions.items())
    ]
    return json_reply({"number": newest, "regions": rows})
