"""Fixtures shared by all tests."""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator
from typing import Final

import pytest

from baobabpulley.timers import ManualTimers

# Below the kernel's range of ephemeral ports, so that no outgoing connection takes one.
DEFAULT_FIRST_PORT: Final = 21_000
PORTS_PER_FLEET: Final = 1_000
PORT_RANGES: Final = 10

_ranges = itertools.cycle(range(PORT_RANGES))


@pytest.fixture(scope="module")
def base_port() -> Iterator[int]:
    """Yield the first of 1,000 loopback ports that no other test run uses."""
    start = int(os.environ.get("BAOBAB_TEST_PORTS", str(DEFAULT_FIRST_PORT)))
    for _ in range(PORT_RANGES):
        first = start + next(_ranges) * PORTS_PER_FLEET
        with socket.socket() as guard:
            try:
                guard.bind(("127.0.0.1", first + PORTS_PER_FLEET - 1))
            except OSError:
                continue
            yield first
            return
    raise RuntimeError(
        "all port ranges are in use by other test runs; end one, or set BAOBAB_TEST_PORTS"
    )


@pytest.fixture
def stopped_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no time pass for gateways: a request that waits for a timer is never answered."""
    monkeypatch.setattr("baobabpulley.gateway.daemon.TimerService", ManualTimers)
