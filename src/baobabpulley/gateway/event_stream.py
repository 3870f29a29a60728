"""Opaque server-sent events: whole events only, each once, in order of their ids."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.errors import UpstreamLost

MAX_EVENT_BYTES: Final = 1_048_576
_ID: Final = b"id:"


@final
class EventSplitter:
    """Cut a byte stream into whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.pending
    True
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending(self) -> bool:
        """Whether the stream stands in the middle of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, as they came; raise `UpstreamLost`."""
        *whole, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamLost(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return [event + b"\n\n" for event in whole]


def event_id(event: bytes) -> int | None:
    """Return an event's id if it is a number.

    >>> event_id(b"id: 12\\ndata: x\\n\\n"), event_id(b"data: x\\n\\n")
    (12, None)
    """
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None


@final
class StreamProgress:
    """Which events a caller has, whatever upstreams they come from."""

    __slots__ = ("_last",)

    def __init__(self, last_event: str | None) -> None:
        self._last = int(last_event) if last_event and last_event.isdecimal() else None

    @property
    def last_event(self) -> str | None:
        """Id of the last event that the caller has."""
        return None if self._last is None else str(self._last)

    def accept(self, event: bytes) -> bool:
        """Whether the caller lacks an event; note that it has it from now on.

        Raises `UpstreamLost` if an event before it is missing.
        """
        number = event_id(event)
        if number is None:
            return True
        if self._last is not None and number <= self._last:
            return False
        if self._last is not None and number > self._last + 1:
            raise UpstreamLost(f"events {self._last + 1} to {number - 1} are missing")
        self._last = number
        return True
