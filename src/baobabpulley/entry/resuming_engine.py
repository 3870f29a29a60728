"""Resume a stream or a prefill on a new connection after the old one broke or timed out."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from typing import Final
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.errors import MismatchedResponse
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamStalled
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.ports.wrapped_engine import WrappedEngine
from baobabpulley.timers import TimerService

MAX_RESUMES: Final = 3
# An engine that doesn't know an attempt that may only be late is asked again after this time.
UNKNOWN_ATTEMPT_PAUSE_SECONDS: Final = 0.25
# Fewer than for a stream, as the other members of a gang wait for the chunk meanwhile.
MAX_CHUNK_RESUMES: Final = 1
ALARM_MISMATCHED_RESPONSE: Final = "crossed_answer"


@final
class ResumingEngine(WrappedEngine):
    """Resume lost streams and prefills of chunks; delegate everything else.

    A stream that is lost after its start is resumed at its offset on a new connection, if the
    upstream still has the attempt, and so is the wait for a chunk. Raises `UpstreamLost` if it
    cannot be resumed.
    """

    __slots__ = ("_metrics", "_timers")

    def __init__(self, *, engine: Engine, metrics: EntryMetrics, timers: TimerService) -> None:
        super().__init__(engine=engine)
        self._metrics = metrics
        self._timers = timers

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        offset = call.offset
        received = False
        events = self._engine.complete(upstream, call)
        for resumes in range(MAX_RESUMES + 1):
            try:
                async with contextlib.aclosing(events) as stream:  # type: ignore[type-var]
                    async for event in stream:
                        received = True
                        offset = _next_offset(event, offset)
                        yield event
                return
            except UpstreamLost as error:
                self._count_mismatch(error)
                if resumes == MAX_RESUMES or error.asked_pause is not None:
                    raise
                stream_error = error
            except (UpstreamRefused, UpstreamUnreachable) as error:
                if not resumes:
                    raise
                is_silence = isinstance(stream_error, UpstreamStalled) and not received
                may_be_late = is_silence and isinstance(error, UpstreamRefused)
                if resumes == MAX_RESUMES or not may_be_late:
                    # The attempt may have run: the error must not say "not run".
                    raise stream_error from error
                # An engine that paused may read the request after the question for its stream.
                await self._timers.sleep(UNKNOWN_ATTEMPT_PAUSE_SECONDS)
            self._metrics.resumes.inc()
            events = self._engine.resume(upstream, attempt=call.attempt, offset=offset)

    async def prefill_chunk(self, upstream: Upstream, call: PrefillCall) -> ChunkRef:
        try:
            return await self._engine.prefill_chunk(upstream, call)
        except UpstreamLost as error:
            if error.asked_pause is not None:
                raise
            prefill_error = error
        for _ in range(MAX_CHUNK_RESUMES):
            self._metrics.resumes.inc()
            try:
                return await self._engine.resume_chunk(upstream, part=call.part)
            except (UpstreamRefused, UpstreamUnreachable) as error:
                # The prefill may have run: the error must not say "not run".
                raise prefill_error from error
            except UpstreamLost as error:
                prefill_error = error
        raise prefill_error

    def _count_mismatch(self, error: UpstreamLost) -> None:
        if isinstance(error, MismatchedResponse):
            self._metrics.alarms.labels(kind=ALARM_MISMATCHED_RESPONSE).inc()


def _next_offset(event: CompletionEvent, offset: int) -> int:
    if isinstance(event, TokenEvent) and event.index <= offset:
        return max(offset, event.index + len(event.tokens))
    assert isinstance(event, TokenEvent | EndEvent)
    return offset
