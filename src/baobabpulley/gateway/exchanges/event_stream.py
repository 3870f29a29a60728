"""Server-sent events, passed on complete, once each and in the order of their ids.

The content of the events isn't parsed.
"""

from __future__ import annotations

import re
from typing import Final
from typing import final

from baobabpulley.errors import UpstreamLost

MAX_EVENT_BYTES: Final = 1_048_576
# A number with more digits is no id of an event, and Python may refuse to convert it.
MAX_ID_DIGITS: Final = 64
# The begin of a line that is neither empty nor a comment.
_FIELD: Final = re.compile(rb"^[^:\n]", re.MULTILINE)
_ID: Final = re.compile(rb"^id:(.*)", re.MULTILINE)


@final
class EventSplitter:
    """Split a byte stream into complete events.

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
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, byte for byte.

        Raise `UpstreamLost` if an event is longer than `MAX_EVENT_BYTES`.
        """
        *complete, self._buffer = (self._buffer + data).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamLost(f"an event of the stream is longer than {MAX_EVENT_BYTES} bytes")
        return [event + b"\n\n" for event in complete]


def has_content(event: bytes) -> bool:
    """Whether an event has a field; comments, which keep a connection open, have none.

    >>> has_content(b"id: 1\\ndata: a\\n\\n"), has_content(b": alive\\n\\n")
    (True, False)
    """
    return _FIELD.search(event) is not None


def event_id(event: bytes) -> str | None:
    """Return an event's id as it was sent, or ``None`` if it has none.

    >>> event_id(b"id: 12\\ndata: x\\n\\n"), event_id(b"data: x\\n\\n")
    ('12', None)
    """
    field = _ID.search(event)
    return None if field is None else field.group(1).strip().decode("latin1")


@final
class StreamProgress:
    """The last event that the caller received, across upstreams that resumed the stream.

    Ids increase but need not be consecutive: an upstream may number its events by their tokens, so
    a gap between two ids doesn't show that an event is missing.
    """

    __slots__ = ("_can_resume", "_last", "_last_event")

    def __init__(self, last_event: str | None) -> None:
        text = last_event or ""
        self._last = _parse_id(text)
        # A number that is too long is no id of an event; any other text may be one.
        self._last_event = None if self._last is None and text.isdecimal() else text or None
        self._can_resume = True

    @property
    def last_event(self) -> str | None:
        """Id of the last event that the caller received, as it was sent, or ``None``."""
        return self._last_event

    @property
    def can_resume(self) -> bool:
        """Whether another upstream can go on: not after an event that has no id."""
        return self._can_resume

    def accept(self, event: bytes) -> bool:
        """Record an event as received by the caller; return whether it wasn't received before."""
        text = event_id(event)
        number = None if text is None else _parse_id(text)
        if number is None:
            self._can_resume = self._can_resume and not has_content(event)
            return True
        if self._last is not None and number <= self._last:
            return False
        self._last, self._last_event, self._can_resume = number, text, True
        return True


def _parse_id(text: str) -> int | None:
    """Return an id as a number, or ``None`` if it isn't one."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ID_DIGITS
    return int(text) if is_number else None
