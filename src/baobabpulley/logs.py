"""Log set-up. Prompts and tokens are never logged."""

from __future__ import annotations

import sys

from loguru import logger

from baobabpulley.settings import LogsSection

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {extra} {message}"


def configure_logs(section: LogsSection, **context: str) -> None:
    """Send all logs of this process to standard error, each line with ``context``."""
    logger.remove()
    if section.format == "json":
        logger.add(sys.stderr, level=section.level, serialize=True, diagnose=False)
    else:
        logger.add(sys.stderr, level=section.level, format=_TEXT_FORMAT, diagnose=False)
    logger.configure(extra=context)
