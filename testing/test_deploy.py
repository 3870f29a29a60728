"""The deploy folder installs the libraries that the gateway loads, in the tested versions."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"

PRINT_LOADED = """
import sys
from importlib.metadata import packages_distributions
known = packages_distributions()
before = set(sys.modules)
import baobabpulley.cli.gateway
for name in {name.partition(".")[0] for name in set(sys.modules) - before}:
    print(*known.get(name, ()))
"""

# Tornado imports it if it is installed, and works without it.
OPTIONAL = {"typing_extensions"}


def test_every_library_that_the_gateway_loads_is_installed_by_the_build() -> None:
    loaded = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED], capture_output=True, text=True, check=True
    ).stdout.split()
    installed = {line.partition("==")[0] for line in REQUIREMENTS.read_text().split()}
    assert set(loaded) - installed - OPTIONAL - {"baobabpulley"} == set()


def test_the_build_installs_the_versions_that_the_tests_use() -> None:
    pinned = (ROOT / "constraints.txt").read_text().split()
    assert set(REQUIREMENTS.read_text().split()) <= set(pinned)
