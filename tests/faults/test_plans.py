"""Concurrent plans under one number, and the restart of a node without a disk."""

from concurrent.futures import ThreadPoolExecutor

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, wait_until

SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()
PLAN_NUMBER = b"2026120301"
RACE_COUNT = 5


def test_one_of_two_racing_plans_is_accepted_and_survives_a_restart(cluster, network):
    deployment = INZIRA._replace(vms={"kigali": 2}, network=network)
    settings = make_settings(deployment)
    for document in settings.values():
        document["groups"] = {"plans": document["groups"]["plans"]}
    without_disk = dict(settings["kigali-2"])
    del without_disk["data_folder"]
    cluster.start_node(settings["kigali-1"])
    cluster.start_node(without_disk)
    first_address, second_address = (
        settings[f"kigali-{n}"]["listen"]["operators"] for n in (1, 2)
    )

    def put_plan(address, sheet):
        return cluster.call(address, "PUT", "/v1/plan", OPERATOR_KEY, sheet)

    def number_in_force(address):
        return cluster.call(address, "GET", "/v1/plan", OPERATOR_KEY).json.get("number")

    wait_until(lambda: put_plan(first_address, SHEET).status == 200)
    wait_until(lambda: number_in_force(second_address) == int(PLAN_NUMBER))
    with ThreadPoolExecutor(2) as pool:
        for race in range(1, RACE_COUNT + 1):
            sheet = SHEET.replace(PLAN_NUMBER, str(int(PLAN_NUMBER) + race).encode())
            other = sheet.replace(b"interactive", b"deferred")
            futures = [
                pool.submit(put_plan, first_address, sheet),
                pool.submit(put_plan, second_address, other),
            ]
            answers = [future.result() for future in futures]
            assert sorted(answer.status for answer in answers) == [200, 409]
            acceptances = {answer.json["acceptance"] for answer in answers}
            assert acceptances == {"accepted", "conflict"}
            assert len({answer.json["digest"] for answer in answers}) == 1
    newest = int(PLAN_NUMBER) + RACE_COUNT
    outdated = put_plan(second_address, SHEET)
    assert (outdated.status, outdated.json["acceptance"]) == (409, "replaced")
    wait_until(lambda: number_in_force(second_address) == newest)
    cluster.kill("kigali-2")
    cluster.start_node(without_disk)
    wait_until(lambda: number_in_force(second_address) == newest)
    assert number_in_force(first_address) == newest
