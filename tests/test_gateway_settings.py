"""Settings of the gateway: validation errors, and changes at run time."""

import json
import types

import pytest

from pollenmount.clock import ManualClock
from pollenmount.errors import SettingsError
from pollenmount.gateway.node import SettingsReloader
from pollenmount.gateway.settings import load_settings
from tests.gateway_harness import BOUNDS

DOCUMENT = {
    "name": "west-1",
    "ip": "10.1.0.1",
    "region": "west",
    "failure_domain": "west-a",
    "failure_domains": {"west-a": "west"},
    "listen": {"callers": "10.1.0.1:80", "readiness": "10.1.0.1:81", "operators": ""},
    "first_port": 7000,
    "last_port": 7015,
    "seeds": ["10.1.0.9:90"],
    "first_start": False,
    "lost_disks": 1,
    "heartbeat_ms": 1200,
    "bounds": BOUNDS._asdict(),
    "new_field": 1,
}


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(DOCUMENT))
    return path


def test_settings_are_read_and_new_fields_ignored(path):
    settings = load_settings(path)
    assert not settings.is_control
    assert settings.links == "10.1.0.1:7015"
    assert settings.bounds == BOUNDS


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"lost_disks": "one"}, "lost_disks"),
        ({"seeds": [1]}, "seeds"),
        ({"bounds": {}}, "bounds.stop_grace_s"),
        ({"name": None}, "name"),
        ({"chooser": "best"}, "chooser must be one of .*two_choices"),
    ],
)
def test_an_error_names_the_key(path, changes, named):
    path.write_text(json.dumps(DOCUMENT | changes))
    with pytest.raises(SettingsError, match=named):
        load_settings(path)


def test_a_changed_file_is_applied_and_a_truncated_one_is_not(path):
    clock = ManualClock(1000)
    node = types.SimpleNamespace(settings=load_settings(path), clock=clock)
    reloader = SettingsReloader(node, path)
    path.write_text(json.dumps(DOCUMENT | {"seeds": ["10.2.0.9:90"]}))
    reloader.check(False)
    assert node.settings.seeds == ("10.1.0.9:90",)
    clock.advance(1000)
    reloader.check(False)
    assert node.settings.seeds == ("10.2.0.9:90",)
    path.write_text(json.dumps(DOCUMENT)[:50])
    reloader.check(True)
    assert node.settings.seeds == ("10.2.0.9:90",)
