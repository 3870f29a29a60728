"""Log configuration. Prompts, keys and tokens are never logged."""

from __future__ import annotations

import contextlib
import os
import sys
import time
from typing import Any
from typing import ClassVar
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.settings import LogsSection

_STDOUT_DESCRIPTOR: Final = 1
# Lines that don't fit are dropped; the buffer fills while the reader of standard output is slow.
_MAX_BUFFERED_BYTES: Final = 262_144

MIN_ERROR_STATUS: Final = 400
# Above this rate, lines of successful requests are dropped and counted.
MAX_BYTES_PER_SECOND: Final = 150_000

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {extra} {message}"


def configure_logs(section: LogsSection, **context: str) -> None:
    """Write all logs of this process to standard error; add ``context`` to each line."""
    logger.remove()
    if section.format == "json":
        logger.add(sys.stderr, level=section.level, serialize=True, diagnose=False)
    else:
        logger.add(sys.stderr, level=section.level, format=_TEXT_FORMAT, diagnose=False)
    logger.configure(extra=context)


def configure_json_line_logs(section: LogsSection, **context: str) -> None:
    """Write all logs of this process to standard output as JSON lines, without blocking."""
    os.set_blocking(_STDOUT_DESCRIPTOR, False)
    logger.remove()
    logger.add(
        JsonLineSink(_STDOUT_DESCRIPTOR), level=section.level, diagnose=False, format="{message}"
    )
    logger.configure(extra=context)


def dropped_line_count() -> int:
    """Return how many log lines this process has dropped."""
    return JsonLineSink.total_dropped


@final
class JsonLineSink:
    """Write log records as JSON lines to a non-blocking file descriptor.

    Lines are dropped if the buffer is full, and lines of successful requests also above
    `MAX_BYTES_PER_SECOND`. The field ``lines_left_out`` of a line is the number of lines dropped
    right before it.
    """

    __slots__ = ("_buffer", "_descriptor", "_dropped", "_second", "_second_bytes")

    total_dropped: ClassVar[int] = 0

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = b""
        self._dropped = 0
        self._second = 0
        self._second_bytes = 0

    def __call__(self, message: Any) -> None:
        """Write a loguru message, or drop it."""
        record = message.record
        line: dict[str, object] = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            **record["extra"],
            "message": record["message"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message)
        if self._dropped:
            line["lines_left_out"] = self._dropped
        data = msgspec.json.encode(line) + b"\n"
        if self._overflows_buffer(data) or (_is_success(record) and self._exceeds_rate(data)):
            self._dropped += 1
            JsonLineSink.total_dropped += 1
            self._write()
            return
        self._dropped = 0
        self._buffer += data
        self._second_bytes += len(data)
        self._write()

    def _overflows_buffer(self, data: bytes) -> bool:
        return len(self._buffer) + len(data) > _MAX_BUFFERED_BYTES

    def _exceeds_rate(self, data: bytes) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._second_bytes = second, 0
        return self._second_bytes + len(data) > MAX_BYTES_PER_SECOND

    def _write(self) -> None:
        # If the reader stalls or has gone, bytes stay in the buffer and later lines are dropped:
        # logging must neither block nor end the process.
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            written = os.write(self._descriptor, self._buffer)
            self._buffer = self._buffer[written:]


def _is_success(record: Any) -> bool:
    """Whether a record reports that a request was placed on an upstream or succeeded."""
    extra = record["extra"]
    event = extra.get("event")
    succeeded = extra.get("outcome") == "ok" and extra.get("status", 0) < MIN_ERROR_STATUS
    return event == "placed" or (event == "request" and succeeded)
