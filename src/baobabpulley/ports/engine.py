"""Interface of model engines: token streams, KV cache chunks, load, events and orders."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Final

import msgspec

from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream

PRIORITY_SHORT: Final = 0
PRIORITY_LONG: Final = 1

# Raises if it is too late to send; returns the model seconds left, `None` if unbounded.
SendGuard = Callable[[], float | None]


class ChunkRef(msgspec.Struct, frozen=True):
    """A chunk of a prompt whose KV cache another engine holds and exports.

    ``part`` is the id of the chunk, ``address`` that of the engine, ``tokens`` its length.
    """

    part: str
    address: str
    tokens: int


class EngineCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """One attempt at a completion.

    ``prompt`` is the text that follows the chunks in ``imports``. ``delivered`` is the text of the
    tokens that the caller already has: the engine continues at token index ``offset``. A lower
    ``priority`` is served first. ``deadline`` is the time left, in model seconds. ``encoding`` is
    the codec that turns ``prompt`` into bytes.
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
    imports: tuple[ChunkRef, ...] = ()
    encoding: str = "utf-8"


class PrefillCall(msgspec.Struct, frozen=True):
    """Prefill one chunk of a prompt against the KV cache of the chunks before it.

    ``part`` is the id of the chunk. ``encoding`` is the codec that turns ``text`` into bytes; a
    chunk may begin in the middle of a multi-byte character.
    """

    part: str
    request_id: str
    holder: str
    model: str
    text: str
    imports: tuple[ChunkRef, ...]
    priority: int
    deadline: float
    encoding: str = "utf-8"


class Hold(msgspec.Struct, frozen=True):
    """Memory that an engine holds for one of our processes.

    ``expires_in`` is the time until the engine frees it unless it is renewed, in seconds.
    """

    id: str
    holder: str
    kind: str
    tokens: int
    expires_in: float = msgspec.field(name="lapses_in")


class Order(msgspec.Struct, frozen=True):
    """An idempotent order to an engine; ``kind`` is ``load``, ``unload`` or ``role``.

    ``fence`` is the fencing token, by which an engine rejects orders of a superseded sender.
    """

    id: str
    kind: str
    model: str
    version: str
    fence: int
    adapters: tuple[str, ...] = ()


class EngineState(msgspec.Struct, frozen=True):
    """State of an engine.

    ``models`` maps each loaded model to its version; ``loading`` names the models that are being
    loaded. ``adapters`` maps models to the adapters loaded with them. ``fence`` is the fencing
    token of the last order that the engine accepted.
    """

    upstream: str
    incarnation: str
    state: str
    fence: int
    models: dict[str, str] = {}
    loading: tuple[str, ...] = ()
    adapters: dict[str, tuple[str, ...]] = {}


class CacheEvent(msgspec.Struct, frozen=True, tag="cache"):
    """Prefix blocks stored in or evicted from an engine's cache.

    Events arrive with a delay and some are lost, which shows as a jump in ``sequence``. A block is
    identified by a 64-bit hash that covers the blocks before it too.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class LoadEvent(msgspec.Struct, frozen=True, tag="load"):
    """A load report on the event stream."""

    report: LoadReport


EngineEvent = CacheEvent | LoadEvent


class Engine(ABC):
    """Calls to model engines; the caller chooses the upstream.

    Attempts raise `UpstreamUnreachable` or `UpstreamRefused` if the attempt did not run,
    `UpstreamLost` if it may have run, and `MismatchedResponse` if an event of another attempt
    arrived.
    """

    @abstractmethod
    def complete(self, upstream: Upstream, call: EngineCall) -> AsyncIterator[CompletionEvent]:
        """Start an attempt and yield its events; closing the iterator drops the connection."""

    @abstractmethod
    def resume(
        self, upstream: Upstream, *, attempt: str, offset: int
    ) -> AsyncIterator[CompletionEvent]:
        """Continue a running attempt on a new connection, from token index ``offset``."""

    @abstractmethod
    async def cancel(self, upstream: Upstream, *, attempt: str) -> None:
        """Cancel an attempt and free its memory; idempotent."""

    @abstractmethod
    async def prefill_chunk(self, upstream: Upstream, call: PrefillCall) -> ChunkRef:
        """Prefill a chunk, hold its KV cache and return a reference for importing it."""

    @abstractmethod
    async def resume_chunk(self, upstream: Upstream, *, part: str) -> ChunkRef:
        """Wait on a new connection for a chunk that the engine prefills or holds already."""

    @abstractmethod
    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        """Return all memory that the engine holds for our processes."""

    @abstractmethod
    async def renew(self, upstream: Upstream, *, holder: str, ids: tuple[str, ...]) -> None:
        """Renew the holds of streams and chunks."""

    @abstractmethod
    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        """Release chunks and streams; idempotent."""

    @abstractmethod
    async def load(self, upstream: Upstream) -> LoadReport:
        """Return the engine's load, delayed by the engine's own reporting lag."""

    @abstractmethod
    def events(self, upstream: Upstream, *, every: float = 0.0) -> AsyncIterator[EngineEvent]:
        """Yield cache events and load reports until the connection breaks or stalls.

        ``every`` is the requested interval between load reports in model seconds. A change of
        state or of the loaded models is reported at once.
        """

    @abstractmethod
    async def order(
        self,
        upstream: Upstream,
        order: Order,
        *,
        guard: SendGuard | None = None,
        window: float | None = None,
        credential: str = "",
    ) -> None:
        """Send an order; raise `UpstreamRefused` if the engine does not accept it.

        ``credential`` authenticates the sender to engines that check it.

        ``guard`` is called after the request's headers are sent and before its body; if it raises,
        the body isn't sent and the order is not carried out. If the process is suspended right
        after that for longer than ``guard`` returned, it terminates instead of sending the body.
        ``window`` bounds how long sent bytes may be in transit, in model seconds.
        """

    @abstractmethod
    async def state(self, upstream: Upstream) -> EngineState:
        """Return the engine's state."""
