"""Parser for the log lines of gateways: JSON objects, optionally preceded by a prefix."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from baobabpulley.decoding import DECODE_ERRORS


class LogLine(msgspec.Struct, frozen=True):
    """One log line; fields that an event does not have keep their defaults.

    ``time`` is in Unix seconds. In a placement, ``expected`` is the predicted number of seconds
    from the placement to the first event, and ``after`` the seconds since the request arrived.
    ``parts`` counts the prompt's chunks, and ``part_seconds`` is the prefill time of each.
    """

    time: float
    node: str = ""
    event: str = ""
    message: str = ""
    level: str = "INFO"
    request: str | None = None
    route: str | None = None
    service: str | None = None
    upstream: str | None = None
    outcome: str | None = None
    status: int = 0
    reason: str | None = None
    code: str | None = None
    attempt: int | None = None
    version: int | None = None
    prompt_tokens: int = 0
    parts: int = 0
    part_seconds: float = 0.0
    expected: float = 0.0
    after: float | None = None
    first_event: float | None = None
    longest_pause: float = 0.0
    seconds: float = 0.0
    helpers: tuple[str, ...] = ()


_decoder = msgspec.json.Decoder(LogLine)


def read_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of gateways; skip all other lines and truncated ones.

    >>> [line.event for line in read_log_lines(['12.5 front-1 {"time":1.0,"event":"start"}', "x"])]
    ['start']
    """
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            yield _decoder.decode(text[begin:])
        except DECODE_ERRORS:
            continue
