"""Builds the program as a single file: a zip archive that Python can run.

Copies the package and the installed distributions it depends on, and packs them with
shiv. On its first start the file extracts itself under SHIV_ROOT (default ~/.shiv).
"""

import argparse
import importlib.metadata
import shutil
import sys
import tempfile
import tomllib
from pathlib import Path

from packaging.requirements import Requirement
from shiv import cli

ROOT = Path(__file__).parent.parent
PACKAGE = "pollenmount"
ENTRY_POINT = "pollenmount.cmdline:main"
INTERPRETER = "/usr/bin/env python3"


def find_distributions(names):
    """Return the named distributions and their installed dependencies."""
    distributions = {}
    pending = [*names]
    while pending:
        name = pending.pop()
        if name in distributions:
            continue
        distributions[name] = importlib.metadata.distribution(name)
        for text in distributions[name].requires or ():
            requirement = Requirement(text)
            marker = requirement.marker
            if marker is None or marker.evaluate({"extra": ""}):
                pending.append(requirement.name)
    return distributions.values()


def copy_distribution(distribution, folder):
    """Copy the files of one distribution, except scripts and byte code."""
    for file in distribution.files:
        if ".." in file.parts or file.suffix == ".pyc":
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def stage_files(folder):
    """Copy the contents of the archive into `folder`."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    names = [Requirement(text).name for text in project["dependencies"]]
    for distribution in find_distributions(names):
        copy_distribution(distribution, folder)
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=ignored)


def main():
    """Build the file; return 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default=str(ROOT / "dist" / PACKAGE))
    output = Path(parser.parse_args().output)
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        stage_files(Path(folder))
        shiv_args = ["--site-packages", folder, "--entry-point", ENTRY_POINT]
        shiv_args += ["--python", INTERPRETER, "--reproducible", "--output-file"]
        cli.main([*shiv_args, str(output)], standalone_mode=False)
    print(f"{output}: {output.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
