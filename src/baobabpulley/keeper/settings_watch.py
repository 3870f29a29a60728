"""Keep the settings book in step with the configuration store."""

from __future__ import annotations

import contextlib
import random
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.model.documents import FLEET
from baobabpulley.model.documents import TEAMS

RETRY_MIN: Final = 0.2
RETRY_MAX: Final = 5.0
SETTINGS_ROOT: Final = "/baobab/"
_WATCHED: Final = (TEAMS, FLEET)


@keeper_parts.register("settings_watch")
@final
class SettingsWatch(KeeperPart):
    """Read all settings once, then follow them by a watch."""

    __slots__ = ("_context", "_delay", "_random")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._delay = RETRY_MIN
        self._random = random.Random(context.node.id)

    async def start(self) -> None:
        self._context.timers.after(0.0, self._follow_forever, name="watch")

    async def _follow_forever(self) -> None:
        while True:
            try:
                await self._follow()
            except StoreUnavailable as error:
                logger.debug("store: {}", error.message)
            # Full jitter: after an outage the keepers must not come back all at once.
            await self._context.timers.sleep(self._random.uniform(0.0, self._delay))
            self._delay = min(RETRY_MAX, self._delay * 2)

    async def _follow(self) -> None:
        book = self._context.view.book
        snapshot = await self._context.store.read(SETTINGS_ROOT)
        watched = [entry for entry in snapshot.entries if entry.key.startswith(_WATCHED)]
        book.install(watched, revision=snapshot.revision)
        watch = self._context.store.watch(SETTINGS_ROOT, from_revision=snapshot.revision + 1)
        async with contextlib.aclosing(watch) as batches:  # type: ignore[type-var]
            async for batch in batches:
                self._delay = RETRY_MIN
                entries = [entry for entry in batch.entries if entry.key.startswith(_WATCHED)]
                book.install(entries, revision=batch.revision)
