"""Log set-up. Prompts, keys and tokens are never logged."""

from __future__ import annotations

import contextlib
import os
import sys
from typing import Any
from typing import ClassVar
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.settings import LogsSection

_STANDARD_OUTPUT: Final = 1
# Bytes of lines that wait for a reader of standard output before further ones are left out.
_MAX_WAITING: Final = 262_144

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {extra} {message}"


def configure_logs(section: LogsSection, **context: str) -> None:
    """Send all logs of this process to standard error, each line with ``context``."""
    logger.remove()
    if section.format == "json":
        logger.add(sys.stderr, level=section.level, serialize=True, diagnose=False)
    else:
        logger.add(sys.stderr, level=section.level, format=_TEXT_FORMAT, diagnose=False)
    logger.configure(extra=context)


def configure_line_logs(section: LogsSection, **context: str) -> None:
    """Send all logs of this process to standard output, a JSON object a line, never waiting."""
    os.set_blocking(_STANDARD_OUTPUT, False)
    logger.remove()
    logger.add(LineSink(_STANDARD_OUTPUT), level=section.level, diagnose=False, format="{message}")
    logger.configure(extra=context)


def lines_left_out() -> int:
    """Return how many lines of this process no reader took."""
    return LineSink.total_left_out


@final
class LineSink:
    """Write lines to a descriptor that may not block; count those that had to be left out."""

    __slots__ = ("_descriptor", "_left_out", "_waiting")

    total_left_out: ClassVar[int] = 0

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = b""
        self._left_out = 0

    def __call__(self, message: Any) -> None:
        """Take one message of loguru's."""
        record = message.record
        line: dict[str, object] = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            **record["extra"],
            "message": record["message"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message)
        if self._left_out:
            line["lines_left_out"] = self._left_out
        data = msgspec.json.encode(line) + b"\n"
        if len(self._waiting) + len(data) > _MAX_WAITING:
            self._left_out += 1
            LineSink.total_left_out += 1
            self._write()
            return
        self._left_out = 0
        self._waiting += data
        self._write()

    def _write(self) -> None:
        # A reader that stands still costs lines, never the process.
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            written = os.write(self._descriptor, self._waiting)
            self._waiting = self._waiting[written:]
