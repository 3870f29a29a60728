"""Decode the operators' configuration, part by part.

The private structs mirror the stored JSON, whose field names come from ``rename`` or ``name``;
callers only see types of `baobabpulley.model`.

The store accepts valid configurations only, so what can't be read here is news to this version of
the program. It costs itself alone: the other routes, the keys that are taken away and the limits
have to be in force. Texts have no length limit, as the store bounds the size of a value.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import InvalidDocument
from baobabpulley.model.routes import IDEMPOTENT
from baobabpulley.model.routes import ONCE
from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Account
from baobabpulley.model.routes import EnginePerformance
from baobabpulley.model.routes import RequestBounds
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.routes import Service
from baobabpulley.model.routes import ServiceShare
from baobabpulley.platform.names import KIND_IDEMPOTENT
from baobabpulley.platform.names import KIND_ONCE
from baobabpulley.platform.names import KIND_STREAM

T = TypeVar("T")

_SECONDS_PER_MS = 0.001
# Assumed where the operators don't tell.
_USUAL_ANSWER_TOKENS = 256.0
_COLD_START_SECONDS = 3.0
_NO_COLD_RATE = 0.0

# A request to a route that can't be read is refused at once, whatever time it has.
_REFUSING_ROUTE_TIMEOUT_SECONDS = 1.0
_UNREADABLE = msgspec.Raw(b"{}")
_ABSENT = msgspec.Raw(b"null")

_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Kind(StrEnum):
    """Kinds of routes as the platform spells them."""

    IDEMPOTENT = KIND_IDEMPOTENT
    ONCE = KIND_ONCE
    STREAM = KIND_STREAM


_KINDS = {_Kind.IDEMPOTENT: IDEMPOTENT, _Kind.ONCE: ONCE, _Kind.STREAM: STREAM}


class _Share(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: _Kind
    timeout_ms: _Positive
    target_latency_ms: _Positive = 1000.0
    priority: int = 5
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: int = 1
    allow_anonymous: bool = False
    resumable_streams: bool = False
    target_gap_ms: float = 0.0


class _RouteAddress(msgspec.Struct, rename="kebab"):
    """What tells which requests a route is for."""

    host: str
    path_prefix: str
    name: str = ""


class _TypicalRequest(msgspec.Struct):
    """Sizes of a typical request; ``answer`` is the tokens of its completion, if known."""

    answer: float | None = None


class _EnginePerformance(msgspec.Struct):
    """Performance of an engine.

    ``read_per_s`` is the prefill speed in tokens per second, and ``pairs_per_m`` the additional
    milliseconds for each million pairs of a prompt token and an earlier one. A decode pass has
    ``stride`` steps of ``step_ms``; each sequence adds ``per_seq_ms`` to a step, and each thousand
    tokens of context ``context_per_k`` milliseconds.
    """

    slots: Annotated[int, msgspec.Meta(ge=1)]
    kv_cache_tokens: int = msgspec.field(name="kv-cache-tokens")
    step_ms: float
    read_per_s: _Positive
    stride: int = 1
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    pairs_per_m: float = 0.0
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    connection_limit: int = 64
    engine: msgspec.Raw = msgspec.Raw(b"null")
    cold_start_s: msgspec.Raw = _ABSENT
    cold_per_s: msgspec.Raw = _ABSENT


class _ServiceName(msgspec.Struct):
    name: str


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Account(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _AccountKeys(msgspec.Struct, rename="kebab"):
    """What tells whose requests are let in."""

    name: str
    api_keys: tuple[str, ...] = ()


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...] = ()
    limits: msgspec.Raw = msgspec.Raw(b"{}")
    tenants: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


_engine_decoder = msgspec.json.Decoder(_EnginePerformance | None)
_amount_decoder = msgspec.json.Decoder(Annotated[float, msgspec.Meta(ge=0)] | None)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_route_decoder = msgspec.json.Decoder(_Route)
_route_address_decoder = msgspec.json.Decoder(_RouteAddress)
_service_decoder = msgspec.json.Decoder(_Service)
_service_name_decoder = msgspec.json.Decoder(_ServiceName)
_limits_decoder = msgspec.json.Decoder(_Limits)
_accounts_decoder = msgspec.json.Decoder(tuple[msgspec.Raw, ...] | None)
_account_decoder = msgspec.json.Decoder(_Account)
_account_keys_decoder = msgspec.json.Decoder(_AccountKeys)


def decode_configuration(value: bytes) -> RoutingTable:
    """Return the routing table of a stored configuration.

    Its ``faults`` name the parts that couldn't be read. Raise `InvalidDocument` if it has no
    version, or no list of routes.
    """
    try:
        configuration = _configuration_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument(f"the stored configuration is invalid: {error}") from error
    reader = _PartReader()
    bounds = reader.read(_limits_decoder, configuration.limits, part="limits")
    return RoutingTable(
        version=configuration.version,
        routes=_routes(reader, configuration.routes),
        services=_services(reader, configuration.services),
        bounds=None if bounds is None else _bounds(bounds),
        accounts=_accounts(reader, configuration.tenants),
        faults=tuple(reader.faults),
    )


@final
class _PartReader:
    """Decode parts of a document; ``faults`` says which ones can't be read, and why."""

    __slots__ = ("faults",)

    def __init__(self) -> None:
        self.faults: list[str] = []

    def read(self, decoder: msgspec.json.Decoder[T], data: msgspec.Raw, *, part: str) -> T | None:
        """Return a part, or ``None`` if it can't be read."""
        try:
            return decoder.decode(data)
        except DECODE_ERRORS as error:
            self.faults.append(f"{part}: {error}")
            return None


def _routes(reader: _PartReader, parts: tuple[msgspec.Raw, ...]) -> tuple[Route, ...]:
    """Return the routes; one that can't be read stays without a service, if its address can.

    Without it, its requests would be sent on by a route with a shorter prefix.
    """
    routes = []
    for index, data in enumerate(parts):
        part = f"routes[{index}]"
        route = reader.read(_route_decoder, data, part=part)
        if route is not None:
            routes.append(_route(route))
            continue
        address = reader.read(_route_address_decoder, data, part=f"address of {part}")
        if address is not None:
            routes.append(_route_without_service(address))
    return tuple(routes)


def _route(route: _Route) -> Route:
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.traffic_split)
    if not shares and route.service is not None:
        shares = (ServiceShare(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout=route.timeout_ms * _SECONDS_PER_MS,
        objective=route.target_latency_ms * _SECONDS_PER_MS,
        priority=route.priority,
        shares=shares,
        max_attempts=route.max_attempts,
        anonymous=route.allow_anonymous,
        resumable=route.resumable_streams,
        pause_objective=route.target_gap_ms * _SECONDS_PER_MS,
    )


def _route_without_service(address: _RouteAddress) -> Route:
    """Return a route whose requests are refused."""
    return Route(
        name=address.name,
        host=address.host,
        prefix=address.path_prefix,
        kind=ONCE,
        timeout=_REFUSING_ROUTE_TIMEOUT_SECONDS,
        objective=_REFUSING_ROUTE_TIMEOUT_SECONDS,
        priority=0,
        shares=(),
        max_attempts=1,
        anonymous=False,
        resumable=False,
        pause_objective=0.0,
    )


def _accounts(
    reader: _PartReader, listed: msgspec.Raw | msgspec.UnsetType
) -> tuple[Account, ...] | None:
    """Return the client accounts; one whose keys can't be read lets nobody in.

    Nor does a list that can't be read; only where there is none, no key is needed.
    """
    if listed is msgspec.UNSET:
        return None
    parts = reader.read(_accounts_decoder, listed, part="tenants") or ()
    accounts = []
    for index, data in enumerate(parts):
        part = f"tenants[{index}]"
        account = reader.read(_account_decoder, data, part=part) or reader.read(
            _account_keys_decoder, data, part=f"keys of {part}"
        )
        if isinstance(account, _Account):
            accounts.append(Account(account.name, account.api_keys, account.priority))
        elif account is not None:
            accounts.append(Account(account.name, account.api_keys))
    return tuple(accounts)


def _services(reader: _PartReader, parts: tuple[msgspec.Raw, ...]) -> tuple[Service, ...]:
    """Return the services; what can't be read of one only serves placement."""
    services = []
    for index, data in enumerate(parts):
        part = f"services[{index}]"
        service = reader.read(_service_decoder, data, part=part)
        if service is not None:
            services.append(_service(reader, service, part=part))
            continue
        known = reader.read(_service_name_decoder, data, part=f"name of {part}")
        if known is not None:
            services.append(_service(reader, _Service(known.name, engine=_UNREADABLE), part=part))
    return tuple(services)


def _service(reader: _PartReader, service: _Service, *, part: str) -> Service:
    """Return a service; its engine only serves placement, so an odd one takes no route along."""
    engine, error = None, None
    try:
        engine = _engine_decoder.decode(service.engine)
    except DECODE_ERRORS as reason:
        error = str(reason)
    return Service(
        name=service.name,
        max_connections=service.connection_limit,
        engine=None if engine is None else _engine(engine),
        engine_error=error,
        cold_rate=_amount(
            reader, service.cold_per_s, default=_NO_COLD_RATE, part=f"cold rate of {part}"
        ),
        cold_seconds=_amount(
            reader, service.cold_start_s, default=_COLD_START_SECONDS, part=f"cold start of {part}"
        ),
    )


def _amount(reader: _PartReader, data: msgspec.Raw, *, default: float, part: str) -> float:
    """Return a number, or its default if it is absent or can't be read."""
    value = reader.read(_amount_decoder, data, part=part)
    return default if value is None else value


def _engine(engine: _EnginePerformance) -> EnginePerformance:
    return EnginePerformance(
        slots=engine.slots,
        memory_tokens=engine.kv_cache_tokens,
        stride=engine.stride,
        step=engine.step_ms * _SECONDS_PER_MS,
        per_writer=engine.per_seq_ms * _SECONDS_PER_MS,
        per_thousand_context=engine.context_per_k * _SECONDS_PER_MS,
        tokens_per_second=engine.read_per_s,
        per_million_pairs=engine.pairs_per_m * _SECONDS_PER_MS,
        usual_answer_tokens=(
            _USUAL_ANSWER_TOKENS if engine.usual.answer is None else engine.usual.answer
        ),
    )


def _bounds(limits: _Limits) -> RequestBounds:
    return RequestBounds(
        max_header=limits.max_header_bytes,
        max_body=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms * _SECONDS_PER_MS,
        idle_timeout=limits.idle_timeout_ms * _SECONDS_PER_MS,
    )
