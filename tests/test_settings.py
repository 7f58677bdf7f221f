"""Settings: all faults at once, each with key, value and remedy; examples are valid."""

import json
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pollenmount.cmdline import main
from pollenmount.errors import SettingsError
from pollenmount.settings import check_settings, load_settings
from scripts.examples import INZIRA, REFERENTIEHUIS, make_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
SECRET = "a secret that must not be shown"


@pytest.fixture
def example():
    return make_settings(INZIRA)["kigali-1"]


@pytest.mark.parametrize("deployment", [INZIRA, REFERENTIEHUIS], ids=lambda d: d.name)
def test_examples_are_valid_and_current(deployment):
    for name, document in make_settings(deployment).items():
        path = EXAMPLES / deployment.name / f"{name}.json"
        assert load_settings(path).name == name
        assert json.loads(path.read_text()) == document


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


def test_faults_beyond_the_schema(example, snapshot):
    del example["data_folder"]
    listen = example["listen"]
    listen["targets"] = listen["callers"]
    listen["operators"] = "0.0.0.0:70000"
    listen["peers"] = "1.2.3:80"
    example["seeds"] = ["fd00::1:80", "[fd00::1]:80", "0.0.0.0:80"]
    example["groups"]["plans"]["kigali-1"] = example["groups"]["plans"]["huye-1"]
    example["groups"]["others"] = {"x": "10.0.0.1:80"}
    example["peer_key_file"] = "nowhere"
    assert [str(fault) for fault in check_settings(example)] == snapshot


def test_peer_key_from_a_file(example, tmp_path):
    path = tmp_path / "key"
    path.write_text("a key of sixteen or more\nanything\n")
    del example["peer_key"]
    example["peer_key_file"] = str(path)
    file = tmp_path / "node.json"
    file.write_text(json.dumps(example))
    assert load_settings(file).peer_key == "a key of sixteen or more"
    path.write_text("short")
    with pytest.raises(SettingsError, match="16 or more characters"):
        load_settings(file)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("peer_key", [SECRET]),
        ("peer_key", {"x": SECRET}),
        ("operator_keys", {"planner": SECRET}),
        ("operator_keys", [SECRET]),
        ("operator_keys", SECRET),
    ],
)
def test_secrets_are_not_shown(example, key, value):
    faults = check_settings({**example, key: value})
    assert faults
    assert not any(SECRET in str(fault) for fault in faults)
    assert not any(SECRET in str(fault) for fault in check_settings([example, SECRET]))


def test_duplicate_keys_are_faults(tmp_path):
    path = tmp_path / "node.json"
    path.write_text('{"name": "a", "name": "b"}')
    with pytest.raises(SettingsError, match="name: is a duplicate key"):
        load_settings(path)


TEXT = st.text("ab1:.[", max_size=9)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | TEXT,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=6,
)


@settings(
    derandomize=True,
    database=None,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.data())
def test_any_document_gets_faults_and_no_exception(data):
    document = make_settings(INZIRA)["huye-2"]
    for key in data.draw(st.lists(st.sampled_from(sorted(document)), max_size=3)):
        document[key] = data.draw(JSON)
    for fault in check_settings(document):
        assert fault.where and fault.problem and fault.remedy


def test_config_check_prints_faults_and_returns_a_status(example, tmp_path, capsys):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(example))
    assert main(["pollenmount", "config", "check", str(path)]) == 0
    path.write_text("{}")
    assert main(["pollenmount", "config", "check", str(path)]) == 1
    assert "add the key" in capsys.readouterr().err
