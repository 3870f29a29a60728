"""Model engines: streams of tokens, KV parts, load, events and orders."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Final

import msgspec

from baobabpulley.model.requests import AnswerEvent
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream

PRIORITY_SHORT: Final = 0
PRIORITY_LONG: Final = 1

# Raises if it is too late; returns the model seconds that are left, if they are bounded.
Guard = Callable[[], float | None]


class PartRef(msgspec.Struct, frozen=True):
    """A part of a prompt whose KV cache another engine holds and exports."""

    part: str
    address: str
    tokens: int


class EngineCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt at a completion.

    ``prompt`` follows the text of ``imports``. ``delivered`` are tokens that the caller already
    has: the engine goes on at index ``offset``. Lower ``priority`` goes first. ``deadline`` is
    the model seconds left. ``encoding`` turns ``prompt`` into its bytes.
    """

    attempt: str
    request_id: str
    holder: str
    model: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    deadline: float
    offset: int = 0
    delivered: str = ""
    imports: tuple[PartRef, ...] = ()
    encoding: str = "utf-8"


class PartCall(msgspec.Struct, frozen=True):
    """Prefill one part of a prompt against the KV cache of the parts before it.

    ``encoding`` turns ``text`` into its bytes; a part may begin inside a character.
    """

    part: str
    request_id: str
    holder: str
    model: str
    text: str
    imports: tuple[PartRef, ...]
    priority: int
    deadline: float
    encoding: str = "utf-8"


class Hold(msgspec.Struct, frozen=True):
    """Memory that an engine holds for us, and the seconds until it lapses by itself."""

    id: str
    holder: str
    kind: str
    tokens: int
    lapses_in: float


class Order(msgspec.Struct, frozen=True):
    """An idempotent order with its fencing number; ``kind`` is ``load``, ``unload`` or ``role``."""

    id: str
    kind: str
    model: str
    version: str
    fence: int
    adapters: tuple[str, ...] = ()


class EngineState(msgspec.Struct, frozen=True):
    """What an engine has loaded, as ``model`` to ``version``; ``loading`` are on their way.

    ``adapters`` names those loaded beside each model.
    """

    upstream: str
    incarnation: str
    state: str
    fence: int
    models: dict[str, str] = {}
    loading: tuple[str, ...] = ()
    adapters: dict[str, tuple[str, ...]] = {}


class CacheEvent(msgspec.Struct, frozen=True, tag="cache"):
    """Prefix blocks stored in or evicted from an engine's cache; late, and with gaps.

    A gap shows as a jump of ``sequence``. Blocks are chained 64-bit hashes.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class LoadEvent(msgspec.Struct, frozen=True, tag="load"):
    """A load report on the event stream."""

    report: LoadReport


EngineEvent = CacheEvent | LoadEvent


class Engine(ABC):
    """All calls name the upstream; nothing here chooses one.

    Attempts raise `UpstreamUnreachable` and `UpstreamRefused` if the attempt did not run,
    `UpstreamLost` if it may have, `MismatchedResponse` if an event of another attempt arrived.
    """

    @abstractmethod
    def complete(self, upstream: Upstream, call: EngineCall) -> AsyncIterator[AnswerEvent]:
        """Start an attempt and yield its answer; closing the iterator drops the connection."""

    @abstractmethod
    def resume(
        self, upstream: Upstream, *, attempt: str, offset: int
    ) -> AsyncIterator[AnswerEvent]:
        """Go on with a running attempt on a new connection, from index ``offset``."""

    @abstractmethod
    async def cancel(self, upstream: Upstream, *, attempt: str) -> None:
        """End an attempt and free its memory; idempotent."""

    @abstractmethod
    async def prefill_part(self, upstream: Upstream, call: PartCall) -> PartRef:
        """Prefill a part, hold its KV cache and return the reference to import it by."""

    @abstractmethod
    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        """Return everything that the engine holds for us."""

    @abstractmethod
    async def renew(self, upstream: Upstream, *, holder: str, ids: tuple[str, ...]) -> None:
        """Keep streams and parts alive."""

    @abstractmethod
    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        """Free parts and streams; idempotent."""

    @abstractmethod
    async def load(self, upstream: Upstream) -> LoadReport:
        """Return the engine's load, late by the engine's own lag."""

    @abstractmethod
    def events(self, upstream: Upstream, *, every: float = 0.0) -> AsyncIterator[EngineEvent]:
        """Yield cache events and load reports until the connection breaks or goes silent.

        ``every`` asks for a load report in so many model seconds; a change of state or models
        comes at once.
        """

    @abstractmethod
    async def order(
        self,
        upstream: Upstream,
        order: Order,
        *,
        guard: Guard | None = None,
        window: float | None = None,
        credential: str = "",
    ) -> None:
        """Give an order; raise `UpstreamRefused` if the engine does not take it.

        ``credential`` shows an engine that checks it who gives the order.

        ``guard`` is called between the request's head and its body, and its error ends the
        order unsent. A process that is frozen right then for longer than the guard left dies
        instead of sending. ``window`` is the model seconds for which bytes may stay on their way.
        """

    @abstractmethod
    async def state(self, upstream: Upstream) -> EngineState:
        """Return what the engine has loaded."""
