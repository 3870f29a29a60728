"""How the cost of one placement grows with upstreams and gateways.

Usage: python bench/placement_cost.py
"""

from __future__ import annotations

import random
import time
from typing import Final

from baobabpulley.emulator.usual_engine import USUAL_ENGINE
from baobabpulley.gateway.candidates import CandidateList
from baobabpulley.gateway.following import FleetBook
from baobabpulley.gateway.planning import PlacementRequest
from baobabpulley.gateway.planning import PromptPlanner
from baobabpulley.gateway.upstream_record import UpstreamRecord
from baobabpulley.model.exchanges import Needs
from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import Service
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.fleet_load import LoadBook
from baobabpulley.policy.fleet_load import LoadShare
from baobabpulley.policy.waiting import times_of
from baobabpulley.timers import ManualTimers

UPSTREAMS: Final = (16, 60, 500)
GATEWAYS: Final = (4, 30, 340)
ROUNDS: Final = 100
SERVICE: Final = Service(name="kitchen", max_connections=424, engine=USUAL_ENGINE)
# Share of the requests in flight whose prompt is still being read.
READING_SHARE: Final = 0.05
SHORT, LONG = 5_000, 133_000


def main() -> None:
    """Print milliseconds of one placement for each size."""
    print(f"{'upstreams':>9} {'gateways':>9} {'short ms':>9} {'long ms':>9}")
    for upstreams in UPSTREAMS:
        for gateways in GATEWAYS:
            found = _fleet(upstreams, gateways)
            short, long = (_milliseconds(found, tokens) for tokens in (SHORT, LONG))
            print(f"{upstreams:>9} {gateways:>9} {short:>9.3f} {long:>9.3f}")


def _fleet(upstreams: int, gateways: int) -> CandidateList:
    source = random.Random(0)
    timers = ManualTimers(start=0.1)
    book, loads = FleetBook(PlatformDocuments()), LoadBook()
    for n in range(upstreams):
        address = f"10.0.{n // 250}.{n % 250}:80"
        book.upstreams[f"i-{n}"] = ListedUpstream(f"i-{n}", SERVICE.name, address, "fes", 8, False)
    for gateway in range(gateways - 1):
        busy = source.sample(sorted(book.upstreams), k=min(36, upstreams))
        shares = tuple(
            LoadShare(one, 0.05 if source.random() < READING_SHARE else 0.0, 1, 1, 0, 6000)
            for one in busy
        )
        loads.learn(f"front-{gateway}", shares, now=0.0)
    return CandidateList(
        node="front-0",
        failure_domain="fes",
        book=book,
        loads=loads,
        record=UpstreamRecord(
            failure_domain="fes", book=book, last_heard=lambda domain: None, timers=timers
        ),
        timers=timers,
    )


def _milliseconds(found: CandidateList, tokens: int) -> float:
    planner = PromptPlanner(source=random.Random(0))
    route = Route("r", "h", "/", STREAM, 15.0, 3.0, 1, (), 2, False, True, 1.0)
    request = PlacementRequest(
        service=SERVICE,
        needs=Needs(attempt="a", prompt_tokens=tokens, max_output_tokens=1300),
        times=times_of(route, arrived=0.1, remaining=15.0),
        excluded=frozenset(),
    )
    began = time.perf_counter()
    for _ in range(ROUNDS):
        near = found.near(SERVICE.name, excluded=request.excluded)
        planner.plan(request, near, USUAL_ENGINE, now=0.1)
    return (time.perf_counter() - began) / ROUNDS * 1000


if __name__ == "__main__":
    main()
