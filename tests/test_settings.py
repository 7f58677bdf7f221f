"""Settings: all faults at once, each with key, value and remedy; examples are sound."""

import json
from pathlib import Path

import pytest

from pollenmount.settings import check_settings, load_settings
from scripts.examples import INZIRA, REFERENTIEHUIS, make_settings

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("deployment", [INZIRA, REFERENTIEHUIS], ids=lambda d: d.name)
def test_examples_are_sound_and_current(deployment):
    for name, settings in make_settings(deployment).items():
        path = EXAMPLES / deployment.name / f"{name}.json"
        assert load_settings(path).name == name
        assert json.loads(path.read_text()) == settings


def test_all_faults_at_once(snapshot):
    document = {
        "name": "West 1",
        "region": "west",
        "listen": {"callers": "localhost"},
        "peer_key": "short",
        "colour": "red",
        "heartbeat_ms": 1,
        "groups": {},
    }
    assert [str(fault) for fault in check_settings(document)] == snapshot
