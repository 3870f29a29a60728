"""Load, faults and report of a run in which upstreams pause or refuse requests, then go on.

A third of the upstreams fall silent at the same moment, again and again, as in a pause of their
host, or refuse requests with 503 and a Retry-After. Times are seconds after the start of the load.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec

STREAM_PATH: Final = "/draft/"
ORDER_PATH: Final = "/order/"
LOOKUP_PATH: Final = "/lookup/"
# A first event that is later than the objective of its route is late.
FIRST_EVENT_OBJECTIVE_SECONDS: Final = 0.3
# The users' aim for short prompts.
FIRST_EVENT_AIM_SECONDS: Final = 0.408
HTTP_OK: Final = 200


class UpstreamSpeed(msgspec.Struct, frozen=True):
    """How fast upstreams work; durations are in seconds, event counts those of one stream."""

    slots: int = 8
    first_event: float = 0.08
    event_gap: float = 0.1
    min_events: int = 6
    max_events: int = 18
    call: float = 0.4

    @property
    def mean_stream_seconds(self) -> float:
        """Mean time that a stream takes a slot."""
        return self.first_event + self.event_gap * ((self.min_events + self.max_events) / 2 - 1)


class Faults(msgspec.Struct, frozen=True):
    """What the faulty ``share`` of each service's upstreams does.

    They are silent for ``pause`` seconds every ``period`` seconds, from ``first_pause`` on, and
    refuse requests from ``refuse_at`` for ``refuse_seconds``. Zero seconds switch a fault off.
    """

    share: float = 1 / 3
    pause: float = 0.0
    period: float = 5.0
    first_pause: float = 2.0
    refuse_at: float = 2.0
    refuse_seconds: float = 0.0

    def faulty(self, count: int) -> int:
        """Return how many of ``count`` upstreams are faulty."""
        return round(self.share * count)

    def pause_left(self, at: float) -> float:
        """Return how long a faulty upstream is still silent; 0 if it is not."""
        if at < self.first_pause or not self.pause:
            return 0.0
        return max(0.0, self.pause - (at - self.first_pause) % self.period)

    def until_pause(self, at: float) -> float:
        """Return how long a faulty upstream that is not silent goes on until its next pause."""
        if not self.pause:
            return math.inf
        if at < self.first_pause:
            return self.first_pause - at
        return self.period - (at - self.first_pause) % self.period

    def since_pause(self, at: float) -> float:
        """Return how long ago the latest pause ended; 0 before the first one and in a pause."""
        if at < self.first_pause or not self.pause:
            return 0.0
        return max(0.0, (at - self.first_pause) % self.period - self.pause)

    def refusal_left(self, at: float) -> float:
        """Return how long a faulty upstream still refuses requests; 0 if it does not."""
        if not self.refuse_at <= at < self.refuse_at + self.refuse_seconds:
            return 0.0
        return self.refuse_at + self.refuse_seconds - at


class PausePlan(msgspec.Struct, frozen=True):
    """One run: a fleet, its load as a ratio of the capacity of all upstreams, and the faults.

    Requests arrive for ``seconds``. ``engines`` serve streams and ``services`` orders and lookups.
    """

    faults: Faults
    gateways: int = 4
    engines: int = 12
    services: int = 6
    load: float = 0.6
    seconds: float = 20.0
    seed: int = 1
    speed: UpstreamSpeed = UpstreamSpeed()

    @property
    def streams_per_second(self) -> float:
        """Streams that all engines together can serve."""
        return self.engines * self.speed.slots / self.speed.mean_stream_seconds

    @property
    def calls_per_second(self) -> float:
        """Orders and lookups that all services together can serve."""
        return self.services * self.speed.slots / self.speed.call


class PlannedRequest(msgspec.Struct, frozen=True):
    """A request that a caller sends ``at`` a time to one of the gateways.

    ``events`` is the length of a stream, and 0 for orders and lookups.
    """

    id: str
    at: float
    gateway: int
    path: str
    events: int = 0


class RequestResult(msgspec.Struct, frozen=True):
    """What the caller received; ``first_event`` and ``seconds`` are seconds after its request.

    ``whole`` is whether the answer was complete, and each event of a stream came once, in order.
    """

    request: PlannedRequest
    status: int
    whole: bool
    first_event: float | None
    seconds: float

    @property
    def served(self) -> bool:
        """Whether the answer was a success and whole."""
        return self.status == HTTP_OK and self.whole

    @property
    def cut(self) -> bool:
        """Whether a stream began and did not end as it should."""
        return self.status == HTTP_OK and not self.whole

    @property
    def late(self) -> bool:
        """Whether the first event of a stream was late or never came."""
        return self.first_event is None or self.first_event > FIRST_EVENT_OBJECTIVE_SECONDS


class UpstreamArrival(msgspec.Struct, frozen=True):
    """A request that reached an upstream.

    ``refused`` is whether the upstream asked for no requests instead of running it, and
    ``beyond_slots`` whether all slots of an upstream that was not silent were taken.
    """

    request: str
    gateway: int
    upstream: str
    at: float
    faulty: bool
    refused: bool
    beyond_slots: bool


class PauseReport(msgspec.Struct):
    """Figures of a run.

    ``late`` is a ratio of the streams sent, by the objective of the route, and ``later_than_aim``
    by the users' aim. ``beyond_slots`` is a ratio of the attempts of streams. ``kept_out`` is for
    how many seconds after a pause a gateway still kept an upstream from work, at most, if only
    for as long as a probe ran there.
    """

    streams: int
    cut: int
    refused: int
    late: float
    later_than_aim: float
    first_event_p50: float
    first_event_p99: float
    orders: int
    orders_failed: int
    orders_repeated: int
    lookups: int
    lookups_failed: int
    attempts_per_stream: float
    beyond_slots: float
    kept_out: float
    late_by_cause: dict[str, int]


def planned_requests(plan: PausePlan) -> list[PlannedRequest]:
    """Return the Poisson arrivals of a plan, ordered by time."""
    source = random.Random(plan.seed)
    calls = plan.load * plan.calls_per_second / 2
    rates = {STREAM_PATH: plan.load * plan.streams_per_second, ORDER_PATH: calls}
    requests = [
        _planned(plan, source, path=path, at=at)
        for path, rate in {**rates, LOOKUP_PATH: calls}.items()
        for at in _poisson_times(source, rate=rate, seconds=plan.seconds)
    ]
    return sorted(requests, key=lambda request: request.at)


def _planned(plan: PausePlan, source: random.Random, *, path: str, at: float) -> PlannedRequest:
    speed = plan.speed
    is_stream = path == STREAM_PATH
    return PlannedRequest(
        id=f"{path.strip('/')}-{source.getrandbits(64):016x}",
        at=at,
        gateway=source.randrange(plan.gateways),
        path=path,
        events=source.randint(speed.min_events, speed.max_events) if is_stream else 0,
    )


def _poisson_times(source: random.Random, *, rate: float, seconds: float) -> Iterable[float]:
    at = source.expovariate(rate)
    while at < seconds:
        yield at
        at += source.expovariate(rate)


@final
class PauseJournal:
    """What callers received and what reached the upstreams in a run.

    ``gateways`` are the gateways of the plan's ``requests``, by the request's id.
    """

    __slots__ = ("arrivals", "gateways", "kept_out", "plan", "requests", "results")

    def __init__(self, plan: PausePlan) -> None:
        self.plan = plan
        self.requests = planned_requests(plan)
        self.gateways = {request.id: request.gateway for request in self.requests}
        self.results: list[RequestResult] = []
        self.arrivals: list[UpstreamArrival] = []
        self.kept_out = 0.0

    def record_kept_out(self, *, at: float) -> None:
        """Record that a gateway keeps an upstream from work now."""
        self.kept_out = max(self.kept_out, self.plan.faults.since_pause(at))

    def report(self) -> PauseReport:
        """Return the figures of the run."""
        streams = self.results_of(STREAM_PATH)
        orders, lookups = self.results_of(ORDER_PATH), self.results_of(LOOKUP_PATH)
        firsts = sorted(result.first_event or math.inf for result in streams)
        runs = Counter(arrival.request for arrival in self.arrivals if not arrival.refused)
        stream_ids = {result.request.id for result in streams}
        attempts = [arrival for arrival in self.arrivals if arrival.request in stream_ids]
        return PauseReport(
            streams=len(streams),
            cut=sum(result.cut for result in streams),
            refused=sum(result.status != HTTP_OK for result in streams),
            late=sum(result.late for result in streams) / len(streams),
            later_than_aim=sum(first > FIRST_EVENT_AIM_SECONDS for first in firsts) / len(streams),
            first_event_p50=firsts[len(firsts) // 2],
            first_event_p99=firsts[len(firsts) * 99 // 100],
            orders=len(orders),
            orders_failed=sum(not result.served for result in orders),
            orders_repeated=sum(runs[result.request.id] > 1 for result in orders),
            lookups=len(lookups),
            lookups_failed=sum(not result.served for result in lookups),
            attempts_per_stream=len(attempts) / len(streams),
            beyond_slots=sum(arrival.beyond_slots for arrival in attempts) / len(attempts),
            kept_out=self.kept_out,
            late_by_cause=self._late_by_cause(streams),
        )

    def results_of(self, path: str) -> list[RequestResult]:
        """Return the results of one kind of request."""
        return [result for result in self.results if result.request.path == path]

    def refused_arrivals(self) -> Counter[tuple[int, str]]:
        """Return the requests that reached refusing upstreams, by gateway and upstream."""
        return Counter(
            (arrival.gateway, arrival.upstream) for arrival in self.arrivals if arrival.refused
        )

    def goodput(self, path: str) -> float:
        """Return the ratio of what was served during the refusals to what could be.

        Upstreams that do not refuse can serve the requests sent in that time or, under a higher
        load, as many answers as fit into it.
        """
        plan, faults = self.plan, self.plan.faults
        results = self.results_of(path)
        if plan.load <= 1 - faults.share:
            sent = [result for result in results if faults.refusal_left(result.request.at) > 0]
            return sum(result.served for result in sent) / len(sent)
        capacity = plan.streams_per_second if path == STREAM_PATH else plan.calls_per_second / 2
        refusers = {arrival.request for arrival in self.arrivals if self._runs_at_refuser(arrival)}
        served = sum(
            result.served
            and result.request.id not in refusers
            and faults.refusal_left(result.request.at + result.seconds) > 0
            for result in results
        )
        return served / ((1 - faults.share) * capacity * faults.refuse_seconds)

    def _runs_at_refuser(self, arrival: UpstreamArrival) -> bool:
        return arrival.faulty and not arrival.refused

    def _late_by_cause(self, streams: Sequence[RequestResult]) -> dict[str, int]:
        """Count late first events by what the first upstream of the request did when it arrived."""
        first: dict[str, UpstreamArrival] = {}
        for arrival in self.arrivals:
            first.setdefault(arrival.request, arrival)
        return dict(
            Counter(self._cause(first.get(result.request.id)) for result in streams if result.late)
        )

    def _cause(self, arrival: UpstreamArrival | None) -> str:
        faults = self.plan.faults
        if arrival is None:
            return "reached no upstream"
        if arrival.faulty and faults.pause_left(arrival.at) > 0:
            since = faults.pause - faults.pause_left(arrival.at)
            return f"sent {math.floor(since * 5) / 5:.1f} s into a pause"
        if arrival.faulty and faults.until_pause(arrival.at) < self.plan.speed.first_event:
            return "prompt interrupted by a pause"
        return "all slots taken" if arrival.beyond_slots else "other"
