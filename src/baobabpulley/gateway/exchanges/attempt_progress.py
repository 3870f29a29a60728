"""When an attempt was last heard, and on which connection it was sent."""

from __future__ import annotations

from typing import final

from baobabpulley.adapters.client_stream import ClientStream
from baobabpulley.policy.upstream_silence import EngineStreams
from baobabpulley.timers import TimerService


@final
class AttemptProgress:
    """When an attempt last received a part of its answer, or started, in monotonic seconds.

    A stream's events are also recorded for its upstream, from `begin_stream` to `end_stream`.
    ``connection`` is the one that the request was sent on, and ``is_reused`` whether it had been
    used before.
    """

    __slots__ = ("_streams", "_timers", "at", "connection", "is_reused")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._streams: EngineStreams | None = None
        self.at = timers.now()
        self.connection: ClientStream | None = None
        self.is_reused = False

    @property
    def is_direct(self) -> bool:
        """Whether the request was sent on a connection that leads through no other gateway."""
        return self.connection is not None and not self.connection.is_tunnel

    @property
    def is_tunnel(self) -> bool:
        """Whether the request was sent on a connection that leads through another gateway."""
        return self.connection is not None and self.connection.is_tunnel

    @property
    def is_streaming(self) -> bool:
        """Whether the first event has arrived, and the stream isn't over."""
        return self._streams is not None

    def record_connection(self, connection: ClientStream, is_reused: bool) -> None:
        """Record the connection on which the request is sent now."""
        self.connection = connection
        self.is_reused = is_reused

    def record(self) -> None:
        """Record that a part of the answer has arrived now."""
        now = self._timers.now()
        if self._streams is not None:
            self._streams.record_event(gap=now - self.at, now=now)
        self.at = now

    def record_reading_paused(self) -> None:
        """Record that the answer isn't read now: the caller is slow, or memory is short."""
        self.at = self._timers.now()
        if self._streams is not None:
            self._streams.record_heard(now=self.at)

    def begin_stream(self, streams: EngineStreams) -> None:
        """Record the first event of a stream, which has arrived now."""
        self._streams = streams
        streams.begin(now=self.at)

    def end_stream(self) -> None:
        """Record that the upstream's stream is over, if it has begun."""
        if self._streams is not None:
            self._streams.end()
            self._streams = None
