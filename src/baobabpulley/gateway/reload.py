"""Reload the settings file on SIGHUP, or when a periodic check finds that it changed."""

from __future__ import annotations

import asyncio
import hashlib
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import InvalidSettings
from baobabpulley.settings import Settings
from baobabpulley.settings import load_settings
from baobabpulley.timers import TimerService

# The file is checked periodically, as it may change without a signal.
CHECK_PERIOD_SECONDS: Final = 1.0


@final
class SettingsReload:
    """Call ``apply`` with the settings each time that the file changed and is valid."""

    __slots__ = ("_apply", "_daemon", "_digest", "_path", "_timers")

    def __init__(
        self,
        *,
        path: Path,
        daemon: str,
        apply: Callable[[Settings], None],
        timers: TimerService,
    ) -> None:
        self._path = path
        self._daemon = daemon
        self._apply = apply
        self._timers = timers
        self._digest = self._read_digest()

    def start(self) -> None:
        """Start to watch the file; requires a running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.check)
        self._timers.every(CHECK_PERIOD_SECONDS, self.check, name="settings file")

    def check(self) -> None:
        """Apply the file if it changed; log an error and keep the settings if it is invalid."""
        digest = self._read_digest()
        if digest is None or digest == self._digest:
            return
        self._digest = digest
        try:
            settings = load_settings(self._path, daemon=self._daemon)
        except InvalidSettings as error:
            logger.bind(event="reload", outcome="refused").error("{}", error.message)
            return
        self._apply(settings)
        logger.bind(event="reload", outcome="applied").info("applied the changed settings file")

    def _read_digest(self) -> bytes | None:
        try:
            return hashlib.blake2b(self._path.read_bytes()).digest()
        except OSError as error:
            logger.bind(event="reload", outcome="unread").warning(
                "cannot read the settings file {}: {}", self._path, error
            )
            return None
