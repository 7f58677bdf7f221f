"""Plans with processes: two operators race under one number; a node starts anew."""

from concurrent.futures import ThreadPoolExecutor

from scripts.examples import INZIRA, OPERATOR_KEY, make_settings
from standins.cluster import ROOT, wait_until

SHEET = (ROOT / "examples/inzira/plan.csv").read_bytes()
NUMBER = b"2026120301"
RACES = 5


def test_racing_operators_and_a_node_that_starts_anew(cluster, network):
    deployment = INZIRA._replace(vms={"kigali": 2}, network=network)
    settings = make_settings(deployment)
    for document in settings.values():
        document["groups"] = {"plans": document["groups"]["plans"]}
    without_disk = dict(settings["kigali-2"])
    del without_disk["data_folder"]
    cluster.start_node(settings["kigali-1"])
    cluster.start_node(without_disk)
    first, second = (settings[f"kigali-{n}"]["listen"]["operators"] for n in (1, 2))

    def put(address, sheet):
        return cluster.call(address, "PUT", "/v1/plan", OPERATOR_KEY, sheet)

    def number_at(address):
        return cluster.call(address, "GET", "/v1/plan", OPERATOR_KEY).json.get("number")

    wait_until(lambda: put(first, SHEET).status == 200)
    wait_until(lambda: number_at(second) == int(NUMBER))
    with ThreadPoolExecutor(2) as pool:
        for race in range(1, RACES + 1):
            sheet = SHEET.replace(NUMBER, str(int(NUMBER) + race).encode())
            other = sheet.replace(b"interactive", b"deferred")
            offers = [pool.submit(put, first, sheet), pool.submit(put, second, other)]
            answers = [offer.result() for offer in offers]
            assert sorted(answer.status for answer in answers) == [200, 409]
            said = {answer.json["acceptance"] for answer in answers}
            assert said == {"accepted", "conflict"}
            assert len({answer.json["digest"] for answer in answers}) == 1
    newest = int(NUMBER) + RACES
    late = put(second, SHEET)
    assert (late.status, late.json["acceptance"]) == (409, "replaced")
    wait_until(lambda: number_at(second) == newest)
    cluster.kill("kigali-2")
    cluster.start_node(without_disk)
    wait_until(lambda: number_at(second) == newest)
    assert number_at(first) == newest
