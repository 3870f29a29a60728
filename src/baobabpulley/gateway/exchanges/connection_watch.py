"""Notice connections to upstreams that go silent, and keep other old ones from use."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.streams import is_acknowledged
from baobabpulley.gateway.exchanges.attempt_progress import AttemptProgress
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.policy.silent_connections import SilentConnections
from baobabpulley.policy.silent_connections import silent_after
from baobabpulley.timers import TimerService

CHECK_PERIOD_SECONDS: Final = 0.1
# A check that is later than this says nothing: what arrived meanwhile has not been processed.
MAX_LATENESS_SECONDS: Final = 0.1


def _ignore(silent_since: float) -> None:
    pass


@final
class _Watched:
    """A running attempt; ``is_silent`` is whether its connection counts as silent now."""

    __slots__ = ("expected", "is_silent", "progress", "silent_at", "upstream")

    def __init__(
        self, upstream: ListedUpstream, progress: AttemptProgress, *, expected: float
    ) -> None:
        self.upstream = upstream
        self.progress = progress
        self.expected = expected
        self.is_silent = False
        self.silent_at = 0.0


@final
class ConnectionWatch:
    """Set idle connections aside when one that was used before goes silent.

    Those that have been heard since stay in use. If the silent one goes on, so do the others. A
    silent connection that is new says something about its upstream, not about connections.
    ``on_silence`` is called with the time since which a connection is silent, new or not, as long
    as it is.
    """

    __slots__ = (
        "_checked_at",
        "_client",
        "_on_silence",
        "_set_aside",
        "_silent",
        "_timers",
        "_watched",
    )

    def __init__(
        self,
        *,
        client: HttpClient,
        timers: TimerService,
        on_silence: Callable[[float], None] = _ignore,
    ) -> None:
        self._client = client
        self._timers = timers
        self._silent = SilentConnections()
        self._watched: set[_Watched] = set()
        self._set_aside = 0
        self._checked_at = timers.now()
        self._on_silence = on_silence

    @property
    def set_aside(self) -> int:
        """Number of idle connections that were set aside so far."""
        return self._set_aside

    def start(self) -> None:
        """Check the running attempts periodically."""
        self._timers.every(CHECK_PERIOD_SECONDS, self.check, name="silent connections")

    @contextlib.asynccontextmanager
    async def watching(
        self, upstream: ListedUpstream, progress: AttemptProgress, *, expected: float
    ) -> AsyncIterator[None]:
        """Watch the connection of an attempt whose answer should begin in ``expected`` seconds."""
        watched = _Watched(upstream, progress, expected=expected)
        self._watched.add(watched)
        try:
            yield
        finally:
            self._watched.discard(watched)
            self._check_going_on(watched)

    def check(self) -> None:
        """Notice the connections that have gone silent, and those that go on."""
        now = self._timers.now()
        is_late = now - self._checked_at > CHECK_PERIOD_SECONDS + MAX_LATENESS_SECONDS
        self._checked_at = now
        for watched in tuple(self._watched):
            progress = watched.progress
            self._check_going_on(watched)
            if is_late:
                continue
            limit = silent_after(expected=watched.expected, is_streaming=progress.is_streaming)
            if now - progress.at <= limit:
                continue
            self._on_silence(progress.at)
            if progress.is_reused and not watched.is_silent:
                self._record_silent(watched, now=now)

    def _record_silent(self, watched: _Watched, *, now: float) -> None:
        progress, upstream = watched.progress, watched.upstream
        watched.is_silent, watched.silent_at = True, progress.at
        heard_before = self._timers.to_real_seconds(progress.at)
        concerns_all = self._silent.record(upstream.id, now=now)
        if concerns_all:
            count = self._client.set_all_aside(heard_before=heard_before)
        else:
            count = self._client.set_aside(upstream.address, heard_before=heard_before)
        self._set_aside += count
        connection = progress.connection
        is_open = connection is not None and not connection.closed()
        logger.bind(
            event="connection_silent",
            upstream=upstream.id,
            seconds=round(now - progress.at, 3),
            streaming=progress.is_streaming,
            acknowledged=is_acknowledged(connection) if is_open else None,
            all_upstreams=concerns_all,
            set_aside=count,
        ).info("a connection that was used before sends nothing")

    def _check_going_on(self, watched: _Watched) -> None:
        if not watched.is_silent or watched.progress.at <= watched.silent_at:
            return
        watched.is_silent = False
        self._silent.forget(watched.upstream.id)
        self._client.restore(watched.upstream.address)
        logger.bind(event="connection_goes_on", upstream=watched.upstream.id).info(
            "a connection that was silent goes on"
        )
