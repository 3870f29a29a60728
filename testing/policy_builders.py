"""Builders of candidate engines with loads for tests of the gateway's placement policy."""

from __future__ import annotations

from baobabpulley.emulator.typical_engine import TYPICAL_ENGINE
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load
from baobabpulley.policy.memory_placement import Candidate

ENGINE_PERFORMANCE = TYPICAL_ENGINE


def candidate(
    name: str,
    *,
    backlog: float = 0.0,
    in_flight: int = 0,
    decoding: int = 0,
    memory_tokens: int = 0,
) -> Candidate:
    """Return a candidate engine with a load; ``decoding`` requests are past their prefill."""
    upstream = ListedUpstream(
        id=name,
        service="kitchen",
        address="127.0.0.1:1",
        failure_domain="fes",
        slots=8,
        leaving=False,
    )
    load = Load(
        backlog=backlog,
        in_flight=max(in_flight, decoding),
        decoding=decoding,
        memory_tokens=memory_tokens,
    )
    return Candidate(upstream=upstream, load=load)


def candidates(count: int) -> list[Candidate]:
    """Return ``count`` idle candidate engines."""
    return [candidate(f"i-{number}") for number in range(count)]
