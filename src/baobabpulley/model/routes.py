"""Operator configuration: routes, services, client accounts and request size limits."""

from __future__ import annotations

from collections import defaultdict
from typing import final

import msgspec

IDEMPOTENT = "idempotent"
ONCE = "once"
STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service of a route and its relative share of the route's traffic."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Rule for requests of one host and path prefix. Durations are in seconds.

    ``kind`` is `IDEMPOTENT`, `ONCE` or `STREAM`. ``objective`` is the target latency, for streams
    that of the first event; ``pause_objective`` is the target for the longest gap between two
    events. ``priority`` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout: float
    objective: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool
    pause_objective: float

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == IDEMPOTENT or (self.kind == STREAM and self.resumable)


class EnginePerformance(msgspec.Struct, frozen=True):
    """Performance model of a service's engines. Durations are in seconds.

    Prefill proceeds at ``tokens_per_second``, plus ``per_million_pairs`` for each million pairs
    of a prompt token and an earlier one (attention). A decode pass consists of ``stride`` steps of
    one token per request. A step takes ``step``, plus ``per_writer`` for each decoding request and
    ``per_thousand_context`` for each thousand tokens of context.
    """

    slots: int
    memory_tokens: int
    stride: int
    step: float
    per_writer: float
    per_thousand_context: float
    tokens_per_second: float
    per_million_pairs: float
    usual_answer_tokens: float

    def prefill_seconds(self, tokens: int) -> float:
        """Return the prefill time of a prompt on an otherwise idle engine."""
        pairs = tokens * tokens / 2_000_000
        return tokens / self.tokens_per_second + self.per_million_pairs * pairs

    def pass_seconds(self, *, decoding_requests: int, context_tokens: int) -> float:
        """Return the duration of a decode pass, which emits one event for each decoding request."""
        context = self.per_thousand_context * context_tokens / 1000
        return self.stride * (self.step + self.per_writer * decoding_requests + context)

    def decode_seconds(self, *, prompt_tokens: int, max_output_tokens: int) -> float:
        """Return the decode time of a response of usual length on an otherwise idle engine."""
        context = self.per_thousand_context * prompt_tokens / 1000
        tokens = min(self.usual_answer_tokens, max_output_tokens)
        return tokens * (self.step + self.per_writer + context)


class Service(msgspec.Struct, frozen=True):
    """One service; ``engine`` is ``None`` for a plain one.

    ``engine_error`` says why the performance of its engines couldn't be read. ``cold_rate`` is the
    number of requests per second that one of its upstreams bears while it is cold, 0 without a
    limit; ``cold_seconds`` is for how long it is cold after a start.
    """

    name: str
    max_connections: int
    engine: EnginePerformance | None
    engine_error: str | None = None
    cold_rate: float = 0.0
    cold_seconds: float = 3.0


class RequestBounds(msgspec.Struct, frozen=True):
    """Limits on what a caller may send. Sizes are in bytes, durations in seconds."""

    max_header: int = 16_384
    max_body: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Account(msgspec.Struct, frozen=True):
    """A client account; its ``priority``, if set, overrides that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@final
class RoutingTable:
    """One accepted version of the operators' configuration.

    ``accounts`` is ``None`` if the configuration has no list of client accounts. With a list, also
    an empty one, requests need a key. ``bounds`` is ``None`` if its limits can't be read.
    ``faults`` names the parts of it that can't be read.
    """

    __slots__ = (
        "_accounts",
        "_bounds",
        "_by_host",
        "_needs_keys",
        "_services",
        "faults",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        bounds: RequestBounds | None,
        accounts: tuple[Account, ...] | None,
        faults: tuple[str, ...] = (),
    ) -> None:
        self.version = version
        self.faults = faults
        self._bounds = bounds
        self._services = {service.name: service for service in services}
        # Whether any key is left doesn't matter: without one, nobody is let in.
        self._needs_keys = accounts is not None
        self._accounts = {key: account for account in accounts or () for key in account.keys}
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._by_host[route.host.lower()][route.prefix] = route

    @property
    def bounds(self) -> RequestBounds:
        """Limits on what a caller may send."""
        return self._bounds or RequestBounds()

    @property
    def needs_keys(self) -> bool:
        """Whether requests to routes that are not anonymous must carry an API key."""
        return self._needs_keys

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or ``None``.

        >>> route = Route("r", "h", "/a/", "once", 1, 1, 0, (), 1, True, False, 0)
        >>> table = RoutingTable(
        ...     version=1, routes=(route,), services=(), bounds=RequestBounds(), accounts=()
        ... )
        >>> table.find("H:80", "/a/b?c").name, table.find("h", "/a")
        ('r', None)
        """
        prefixes = self._by_host.get(host.lower().partition(":")[0])
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def adopt_bounds(self, earlier: RoutingTable | None) -> None:
        """Use an earlier version's limits if this one's can't be read."""
        if self._bounds is None and earlier is not None:
            self._bounds = earlier.bounds

    def adopt_engines(self, earlier: RoutingTable | None) -> tuple[Service, ...]:
        """Use an earlier version's engines where this one's can't be read; return these services.

        Without an earlier one, such a service counts as plain.
        """
        unreadable = tuple(
            service for service in self._services.values() if service.engine_error is not None
        )
        for service in unreadable:
            known = None if earlier is None else earlier.service(service.name)
            if known is not None:
                self._services[service.name] = msgspec.structs.replace(service, engine=known.engine)
        return unreadable

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def account(self, key: str) -> Account | None:
        """Return the client account that an API key belongs to."""
        return self._accounts.get(key)
