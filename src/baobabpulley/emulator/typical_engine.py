"""Performance figures of a typical production engine, for tests and benches of placement."""

from __future__ import annotations

from typing import Final

from baobabpulley.model.routes import EnginePerformance

TYPICAL_ENGINE: Final = EnginePerformance(
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
