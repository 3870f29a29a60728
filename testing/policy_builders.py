"""Builders of engines and their loads for the gateway's decisions."""

from __future__ import annotations

from baobabpulley.model.routes import EngineFigures
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import Load
from baobabpulley.policy.spread import Candidate

FIGURES = EngineFigures(
    slots=8,
    memory_tokens=232_000,
    stride=43,
    step=0.00102,
    per_writer=0.0000045,
    per_thousand_context=0.0000043,
    tokens_per_second=206_000.0,
    per_million_pairs=0.000138,
    usual_answer_tokens=1303.0,
)


def candidate(
    name: str, *, backlog: float = 0.0, in_flight: int = 0, memory_tokens: int = 0
) -> Candidate:
    """Return an engine with a load."""
    upstream = ListedUpstream(
        id=name,
        service="kitchen",
        address="127.0.0.1:1",
        failure_domain="fes",
        slots=8,
        leaving=False,
    )
    load = Load(backlog=backlog, in_flight=in_flight, memory_tokens=memory_tokens)
    return Candidate(upstream=upstream, load=load)


def candidates(count: int) -> list[Candidate]:
    """Return idle engines."""
    return [candidate(f"i-{number}") for number in range(count)]
