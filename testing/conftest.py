"""Fixtures that all tests share."""

from __future__ import annotations

import itertools
import os
from typing import Final

import pytest

# Below the range from which the kernel takes the ports of outgoing connections.
DEFAULT_FIRST_PORT: Final = 21_000
PORTS_OF_A_FLEET: Final = 1_000
FLEET_RANGES: Final = 2

_ranges = itertools.cycle(range(FLEET_RANGES))


@pytest.fixture(scope="module")
def base_port() -> int:
    """Return the first of a thousand loopback ports for the fleet of one test module."""
    first = int(os.environ.get("BAOBAB_TEST_PORTS", str(DEFAULT_FIRST_PORT)))
    return first + next(_ranges) * PORTS_OF_A_FLEET
