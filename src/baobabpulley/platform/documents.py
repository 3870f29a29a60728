"""Decode the operators' configuration, upstream registrations and gateway entries.

The private structs mirror the stored JSON, whose field names come from ``rename`` or ``name``;
callers only see types of `baobabpulley.model` and `baobabpulley.ports`.

Texts have no length limit here: the store bounds the size of a value, and what it accepted has to
be in force.
"""

from __future__ import annotations

from typing import Annotated
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
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform import names
from baobabpulley.platform.names import KIND_IDEMPOTENT
from baobabpulley.platform.names import KIND_ONCE
from baobabpulley.platform.names import KIND_STREAM
from baobabpulley.platform.names import STATE_DRAINING
from baobabpulley.platform.names import STATE_READY
from baobabpulley.ports.fleet_documents import FleetDocuments
from baobabpulley.ports.fleet_documents import GatewayMember

_KINDS = {KIND_IDEMPOTENT: IDEMPOTENT, KIND_ONCE: ONCE, KIND_STREAM: STREAM}
_SECONDS_PER_MS = 0.001
# Assumed where the operators don't tell.
_USUAL_ANSWER_TOKENS = 256.0
_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"

_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Share(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Positive
    target_latency_ms: _Positive = 1000.0
    priority: int = 5
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: int = 1
    allow_anonymous: bool = False
    resumable_streams: bool = False
    target_gap_ms: float = 0.0


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


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Account(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Account, ...] | msgspec.UnsetType = msgspec.UNSET


class _Upstream(msgspec.Struct):
    """An upstream's registration.

    ``state`` says whether it is draining; ``born`` is its start time in milliseconds.
    """

    service: str
    address: Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    born: int = 0


_engine_decoder = msgspec.json.Decoder(_EnginePerformance | None)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_upstream_decoder = msgspec.json.Decoder(_Upstream)


def decode_configuration(value: bytes) -> RoutingTable:
    """Return the routing table of a stored configuration; raise `InvalidDocument`."""
    try:
        configuration = _configuration_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument(f"the stored configuration is invalid: {error}") from error
    return RoutingTable(
        version=configuration.version,
        routes=tuple(_route(route) for route in configuration.routes),
        services=tuple(_service(service) for service in configuration.services),
        bounds=_bounds(configuration.limits),
        accounts=_accounts(configuration.tenants),
    )


def decode_upstream(upstream: str, value: bytes) -> ListedUpstream:
    """Decode an upstream's registration; raise `InvalidDocument`."""
    try:
        entry = _upstream_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument(
            f"the entry of upstream {upstream[:64]!r} is invalid: {error}"
        ) from error
    if entry.state not in (STATE_READY, STATE_DRAINING):
        raise InvalidDocument(f"the entry of upstream {upstream[:64]!r} has an unknown state")
    return ListedUpstream(
        id=upstream,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == STATE_DRAINING,
        born=entry.born,
    )


def _route(route: _Route) -> Route:
    kind = _KINDS.get(route.kind)
    if kind is None:
        raise InvalidDocument(f"route {route.name!r} has the unknown kind {route.kind!r}")
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.traffic_split)
    if not shares and route.service is not None:
        shares = (ServiceShare(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=kind,
        timeout=route.timeout_ms * _SECONDS_PER_MS,
        objective=route.target_latency_ms * _SECONDS_PER_MS,
        priority=route.priority,
        shares=shares,
        max_attempts=route.max_attempts,
        anonymous=route.allow_anonymous,
        resumable=route.resumable_streams,
        pause_objective=route.target_gap_ms * _SECONDS_PER_MS,
    )


def _accounts(tenants: tuple[_Account, ...] | msgspec.UnsetType) -> tuple[Account, ...] | None:
    if tenants is msgspec.UNSET:
        return None
    return tuple(
        Account(name=tenant.name, keys=tenant.api_keys, priority=tenant.priority)
        for tenant in tenants
    )


def _service(service: _Service) -> Service:
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
    )


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


@final
class PlatformDocuments(FleetDocuments):
    """Store keys and value formats of the platform."""

    __slots__ = ()

    def classify_key(self, key: str) -> tuple[str | None, str]:
        if key == names.CONFIGURATION_KEY:
            return "configuration", key
        for prefix, kind in ((names.UPSTREAM_PREFIX, "upstream"), (names.MEMBER_PREFIX, "member")):
            if key.startswith(prefix):
                return kind, key.removeprefix(prefix)
        return None, key

    def configuration(self, value: bytes) -> RoutingTable:
        return decode_configuration(value)

    def upstream(self, name: str, value: bytes) -> ListedUpstream:
        return decode_upstream(name, value)

    def member(self, value: bytes) -> GatewayMember:
        try:
            return msgspec.json.decode(value, type=GatewayMember)
        except DECODE_ERRORS as error:
            raise InvalidDocument(
                f"the entry of a gateway in the member list is invalid: {error}"
            ) from error

    def encode_member(self, member: GatewayMember) -> tuple[str, bytes]:
        return names.MEMBER_PREFIX + member.node, msgspec.json.encode(member)
