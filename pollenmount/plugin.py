"""Registry of plug-ins, by family and name.

A family is a sub-package. Its modules register their members when they are imported, so
that adding a member touches one file.
"""

import importlib
import importlib.util
import pkgutil

from pollenmount.errors import UnknownPluginError

__all__ = ["get_plugin_by_name", "load_family", "register"]

FAMILIES = {}


def register(family, name):
    """Return a decorator that registers a class or function under `name`."""

    def decorate(member):
        FAMILIES.setdefault(family, {})[name] = member
        return member

    return decorate


def load_family(package_name):
    """Import every module of the sub-package and return its members by name."""
    package = importlib.import_module(package_name)
    for module in pkgutil.iter_modules(package.__path__):
        importlib.import_module(f"{package_name}.{module.name}")
    return FAMILIES.get(package_name, {})


def get_plugin_by_name(family, name):
    """Return the member registered as `name`, or raise `UnknownPluginError`.

    Imports only the module of that name if there is one, so that a process does not
    load the dependencies of members that it does not use.
    """
    import_module_of(family, name)
    members = FAMILIES.get(family, {})
    if name not in members:
        members = load_family(family)
    if name not in members:
        known = ", ".join(sorted(members))
        raise UnknownPluginError(f"no {name!r} in {family}; use one of: {known}")
    return members[name]


def import_module_of(family, name):
    """Import the module of a family that is called `name`, if there is one."""
    path = f"{family}.{name}"
    if name.isidentifier() and importlib.util.find_spec(path):
        importlib.import_module(path)
