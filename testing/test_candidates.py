"""Which upstreams a gateway looks at, and that the rest is used once those have no room."""

from __future__ import annotations

from collections import Counter

import pytest
from platform_upstream import UpstreamStandin
from policy_builders import FIGURES

from baobabpulley.errors import Overloaded
from baobabpulley.gateway.candidates import CandidateList
from baobabpulley.gateway.following import FleetBook
from baobabpulley.gateway.placer import Placer
from baobabpulley.gateway.planning import PlacementRequest
from baobabpulley.gateway.upstream_record import UpstreamRecord
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.exchanges import Needs
from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import Service
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.fleet_load import LoadBook
from baobabpulley.policy.fleet_load import LoadShare
from baobabpulley.policy.subset import MAX_CONSIDERED
from baobabpulley.policy.subset import subset_of
from baobabpulley.policy.waiting import times_of
from baobabpulley.timers import ManualTimers

SLOTS = 8
ROUTE = Route("r", "h", "/", STREAM, 10.0, 0.3, 1, (), 2, False, True, 0.25)


class NoNews:
    """In place of the news exchange: no gateway was heard."""

    def last_heard(self, failure_domain: str) -> float | None:
        return None


class Fleet:
    """A placer before engines whose loads the test sets."""

    def __init__(self, engines: int) -> None:
        self.timers = ManualTimers(start=100.0)
        self.loads = LoadBook()
        self.book = FleetBook(PlatformDocuments())
        for upstream in listed(engines):
            self.book.upstreams[upstream.id] = upstream
        record = UpstreamRecord(
            failure_domain="fes", book=self.book, news=NoNews(), timers=self.timers  # type: ignore[arg-type]
        )
        self.candidates = CandidateList(
            node="front-0",
            failure_domain="fes",
            book=self.book,
            loads=self.loads,
            record=record,
            timers=self.timers,
        )
        self.placer = Placer(
            candidates=self.candidates,
            book=self.book,
            loads=self.loads,
            record=record,
            timers=self.timers,
            max_waiting=100,
        )

    def fill(self, upstreams: list[str]) -> None:
        """Have another gateway use every slot of some engines."""
        shares = tuple(LoadShare(one, 0.0, SLOTS, SLOTS, 0, 50_000) for one in upstreams)
        self.loads.learn("front-1", shares, now=self.timers.now())

    def request(self, *, tokens: int = 4000) -> PlacementRequest:
        now = self.timers.now()
        return PlacementRequest(
            service=Service(name="kitchen", max_connections=424, engine=FIGURES),
            needs=Needs(attempt="a", prompt_tokens=tokens, max_output_tokens=1300),
            times=times_of(ROUTE, arrived=now, remaining=10.0),
            excluded=frozenset(),
        )


def listed(count: int) -> list[ListedUpstream]:
    return [
        ListedUpstream(f"i-{number}", "kitchen", f"10.0.0.{number}:80", "fes", SLOTS, False)
        for number in range(count)
    ]


def test_a_small_service_is_looked_at_whole() -> None:
    assert subset_of("front-0", listed(MAX_CONSIDERED)) == listed(MAX_CONSIDERED)


def test_gateways_spread_over_a_large_service_evenly() -> None:
    counts: Counter[str] = Counter()
    for gateway in range(340):
        counts.update(one.id for one in subset_of(f"front-{gateway}", listed(500)))
    assert len(counts) == 500
    mean = 340 * MAX_CONSIDERED / 500
    assert min(counts.values()) > 0.5 * mean
    assert max(counts.values()) < 1.6 * mean


def test_most_of_a_subset_stays_when_engines_are_replaced() -> None:
    before = {one.id for one in subset_of("front-0", listed(500))}
    after = {one.id for one in subset_of("front-0", listed(520)[20:])}
    assert len(before & after) > 0.85 * MAX_CONSIDERED


async def test_engines_beyond_the_subset_are_used_once_it_is_full() -> None:
    fleet = Fleet(engines=300)
    near = [one.upstream.id for one in fleet.candidates.near("kitchen", excluded=frozenset())]
    assert (await fleet.placer.place(fleet.request())).upstream.id in near
    fleet.fill(near)
    assert (await fleet.placer.place(fleet.request())).upstream.id not in near


async def test_upstreams_that_begin_to_leave_are_no_candidates() -> None:
    fleet = Fleet(engines=2)
    assert (await fleet.placer.place(fleet.request())).upstream.id in {"i-0", "i-1"}
    server = UpstreamStandin("i-0", service="kitchen")
    leaving = server.entry(state=names.STATE_DRAINING, address="127.0.0.1:1")
    entry = StoredEntry(key=names.UPSTREAM_PREFIX + "i-0", value=leaving, mod_revision=1)
    fleet.book.change((entry,), revision=1, now=fleet.timers.now())
    assert (await fleet.placer.place(fleet.request())).upstream.id == "i-1"


@pytest.mark.parametrize("engines", [3, 300], ids=["few", "many"])
async def test_a_prompt_that_cannot_be_answered_in_time_is_refused_not_queued(engines: int) -> None:
    fleet = Fleet(engines=engines)
    late = fleet.request(tokens=100_000)
    await fleet.timers.advance(9.8)
    with pytest.raises(Overloaded):
        await fleet.placer.place(late)
    assert fleet.placer.waiting == 0
