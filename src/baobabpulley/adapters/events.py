"""Framing of server-sent events; their data, JSON, is encoded and decoded elsewhere."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

from baobabpulley.errors import UpstreamLost

MAX_EVENT_BYTES: Final = 1_048_576
KEEPALIVE_COMMENT: Final = b": alive\n\n"
DONE: Final = b"[DONE]"


def frame_event(data: bytes) -> bytes:
    """Return the bytes of one event.

    >>> frame_event(b"{}")
    b'data: {}\\n\\n'
    """
    return b"data: " + data + b"\n\n"


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the data of each event and skip comments.

    Raises `UpstreamLost` if more than `MAX_EVENT_BYTES` arrive without the end of an event.
    """
    buffered = b""
    async for chunk in chunks:
        buffered += chunk
        *events, buffered = buffered.split(b"\n\n")
        if len(buffered) > MAX_EVENT_BYTES:
            raise UpstreamLost(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        for event in events:
            if event.startswith(b"data: "):
                yield event[6:]
