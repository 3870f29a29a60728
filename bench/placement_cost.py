"""How the cost of one placement grows with upstreams and gateways.

Usage: python bench/placement_cost.py
"""

from __future__ import annotations

import random
import time
from typing import Final

from baobabpulley.model.routes import EngineFigures
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.fleet_load import LoadBook
from baobabpulley.policy.fleet_load import LoadShare
from baobabpulley.policy.spread import Candidate
from baobabpulley.policy.spread import plan_prompt

UPSTREAMS: Final = (16, 60, 500)
GATEWAYS: Final = (4, 30, 340)
ROUNDS: Final = 20
# Share of the requests in flight whose prompt is still being read.
READING_SHARE: Final = 0.05
SHORT, LONG = 5_000, 133_000

FIGURES: Final = EngineFigures(
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


def main() -> None:
    """Print milliseconds of one placement for each size."""
    print(f"{'upstreams':>9} {'gateways':>9} {'short ms':>9} {'long ms':>9}")
    for upstreams in UPSTREAMS:
        for gateways in GATEWAYS:
            book, listed = _fleet(upstreams, gateways)
            short, long = (_milliseconds(book, listed, tokens) for tokens in (SHORT, LONG))
            print(f"{upstreams:>9} {gateways:>9} {short:>9.3f} {long:>9.3f}")


def _fleet(upstreams: int, gateways: int) -> tuple[LoadBook, list[ListedUpstream]]:
    source = random.Random(0)
    listed = [
        ListedUpstream(f"i-{n}", "kitchen", f"10.0.{n // 250}.{n % 250}:80", "fes", 8, False)
        for n in range(upstreams)
    ]
    book = LoadBook()
    for gateway in range(gateways - 1):
        busy = source.sample(listed, k=min(36, upstreams))
        shares = tuple(
            LoadShare(one.id, 0.05 if source.random() < READING_SHARE else 0.0, 1, 1, 0, 6000)
            for one in busy
        )
        book.learn(f"front-{gateway}", shares, now=0.0)
    return book, listed


def _milliseconds(book: LoadBook, listed: list[ListedUpstream], tokens: int) -> float:
    began = time.perf_counter()
    for _ in range(ROUNDS):
        candidates = [Candidate(one, book.load(one.id, now=0.1)) for one in listed]
        plan_prompt(
            candidates, figures=FIGURES, prompt_tokens=tokens, answer_tokens=1300, objective=3.0
        )
    return (time.perf_counter() - began) / ROUNDS * 1000


if __name__ == "__main__":
    main()
