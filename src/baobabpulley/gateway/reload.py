"""Take over a changed settings file, on SIGHUP or when its content is seen to differ."""

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

# Seconds between looks at the file: it may change without a signal.
CHECK_PERIOD_SECONDS: Final = 1.0


@final
class SettingsReload:
    """Call ``apply`` with each new content of a settings file that checks."""

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
        """Look at the file from now on; the event loop must run."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.check)
        self._timers.every(CHECK_PERIOD_SECONDS, self.check, name="settings file")

    def check(self) -> None:
        """Take the file over if it changed; a file that does not check changes nothing."""
        digest = self._read_digest()
        if digest is None or digest == self._digest:
            return
        self._digest = digest
        try:
            settings = load_settings(self._path, daemon=self._daemon)
        except InvalidSettings as fault:
            logger.bind(event="reload", outcome="refused").error("{}", fault.message)
            return
        self._apply(settings)
        logger.bind(event="reload", outcome="applied").info("settings taken over")

    def _read_digest(self) -> bytes | None:
        try:
            return hashlib.blake2b(self._path.read_bytes()).digest()
        except OSError as error:
            logger.bind(event="reload", outcome="unread").warning("{}: {}", self._path, error)
            return None
