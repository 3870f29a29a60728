"""Many engines in one process that publish load and do nothing else, for the control bench.

Each listens on its own port. Every report differs notably from the last one, so that a keeper
has something to pass on each time.
"""

from __future__ import annotations

import random
import secrets
from typing import Any
from typing import Final
from typing import final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.events import SIGN_OF_LIFE
from baobabpulley.adapters.events import frame_event
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.ports.engine import CacheEvent
from baobabpulley.ports.engine import EngineState
from baobabpulley.ports.engine import LoadEvent
from baobabpulley.timers import TimerService

LIFE_PERIOD: Final = 1.0
SHORTEST_REPORT: Final = 0.25
MAX_QUEUED: Final = 400_000
BLOCKS_OF_AN_EVENT: Final = 6


@final
class PublishedEngine:
    """One engine: a number, its incarnation and the reports it makes up."""

    __slots__ = ("_events", "_id", "_incarnation", "_random", "_sequence", "model")

    def __init__(self, *, id: str, model: str, seed: int) -> None:
        self._id = id
        self._incarnation = secrets.token_hex(4)
        self._random = random.Random(seed)
        self._sequence = 0
        self._events = 0
        self.model = model

    def report(self) -> LoadReport:
        """Return a new report."""
        self._sequence += 1
        queued = self._random.randrange(MAX_QUEUED)
        return LoadReport(
            upstream=self._id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            queued=queued,
            queued_high=queued // 10,
            running=self._random.randrange(40),
            long_prefills=self._random.randrange(2),
            memory_total=MAX_QUEUED,
            memory_held=queued,
            prefill_rate=20_000.0,
            models=(self.model,),
        )

    def cache_event(self) -> CacheEvent:
        """Return a new cache event."""
        self._events += 1
        blocks = tuple(self._random.getrandbits(64) for _ in range(BLOCKS_OF_AN_EVENT))
        return CacheEvent(sequence=self._events, stored=blocks)

    def state(self) -> EngineState:
        """Return what the engine has loaded."""
        return EngineState(
            upstream=self._id,
            incarnation=self._incarnation,
            state="live",
            fence=0,
            models={self.model: "1"},
        )


@final
class PublisherStandin:
    """All engines of one process, by port."""

    __slots__ = ("_address", "_engines", "_servers", "news_period", "timers")

    def __init__(
        self,
        *,
        address: str,
        count: int,
        first_index: int,
        model: str,
        news_period: float,
        seed: int,
        timers: TimerService,
    ) -> None:
        self._address = address
        self.timers = timers
        self.news_period = news_period
        port = split_address(address)[1]
        self._engines = {
            port
            + index: PublishedEngine(
                id=f"engine-{first_index + index}", model=model, seed=seed + first_index + index
            )
            for index in range(count)
        }
        self._servers: list[HTTPServer] = []

    def start(self) -> None:
        """Listen on all ports; the event loop must run."""
        host, _ = split_address(self._address)
        server = HTTPServer(Application(_routes(self)))
        for port in self._engines:
            server.listen(port, host)
        self._servers.append(server)

    def engine_at(self, port: int) -> PublishedEngine:
        """Return the engine that listens on a port."""
        return self._engines[port]


class _Handler(RequestHandler):
    def initialize(self, standin: PublisherStandin) -> None:
        self._standin = standin
        stream = self.request.connection.stream  # type: ignore[union-attr]
        self._engine = standin.engine_at(stream.socket.getsockname()[1])


class _LoadHandler(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self._engine.report()))


class _HoldsHandler(_Handler):
    def get(self) -> None:
        self.finish(b"[]")


class _StateHandler(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self._engine.state()))


class _EventsHandler(_Handler):
    async def get(self) -> None:
        timers = self._standin.timers
        every = max(SHORTEST_REPORT, float(self.get_query_argument("every", "0")))
        news_period = self._standin.news_period
        next_report = timers.now()
        next_news = timers.now() + news_period
        try:
            while not self.request.connection.stream.closed():  # type: ignore[union-attr]
                now = timers.now()
                data = b""
                if now >= next_report:
                    next_report += every
                    data += frame_event(msgspec.json.encode(LoadEvent(self._engine.report())))
                if news_period and now >= next_news:
                    next_news += news_period
                    data += frame_event(msgspec.json.encode(self._engine.cache_event()))
                self.write(data or SIGN_OF_LIFE)
                await self.flush()
                due = min(next_report, next_news) if news_period else next_report
                await timers.sleep(min(LIFE_PERIOD, max(0.01, due - timers.now())))
        except StreamClosedError:
            pass


def _routes(standin: PublisherStandin) -> list[Any]:
    own = {"standin": standin}
    return [
        (r"/v1/load", _LoadHandler, own),
        (r"/v1/state", _StateHandler, own),
        (r"/v1/holds", _HoldsHandler, own),
        (r"/v1/events", _EventsHandler, own),
    ]
