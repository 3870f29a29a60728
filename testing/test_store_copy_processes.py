"""A short play of a store that comes back from a copy, by gateways in processes."""

from __future__ import annotations

from copy_play import play
from copy_variants import Variant

# Each change is watched for a short while after it has to be in force.
STEPS = (1.0, 2.6, 2.6, 2.6)


async def test_after_a_return_from_a_copy_nothing_runs_by_what_was_before() -> None:
    counts = await play(Variant(pathless="front-2", steps=STEPS), seed=1)
    assert counts.breaches == 0, counts
    assert not counts.failed
    assert counts.requests > 500
