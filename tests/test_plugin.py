"""Plug-ins are loaded by name, with no more modules than they need."""

import subprocess
import sys

import pytest

from pollenmount.errors import UnknownPluginError
from pollenmount.plugin import get_plugin_by_name, load_family

ROLES = "pollenmount.gateway.roles"
LIST_MODULES = """
import sys
from pollenmount import task
from pollenmount.plugin import get_plugin_by_name
get_plugin_by_name("pollenmount.gateway.roles", "entry")
print(*sorted({name.partition(".")[0] for name in sys.modules}))
"""


def test_an_entry_vm_loads_only_what_it_runs():
    """Each of hundreds of VMs pays for unused modules at each start, and in memory."""
    result = subprocess.run(
        (sys.executable, "-W", "ignore", "-c", LIST_MODULES),
        capture_output=True,
        check=True,
        text=True,
    )
    assert not {"grpc", "dns"} & set(result.stdout.split())


def test_a_member_is_found_by_name_or_named_as_missing():
    assert get_plugin_by_name(ROLES, "entry") is load_family(ROLES)["entry"]
    with pytest.raises(UnknownPluginError, match="use one of: control, entry"):
        get_plugin_by_name(ROLES, "none")
