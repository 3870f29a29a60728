"""Keep the settings state in sync with the configuration store."""

from __future__ import annotations

import contextlib
import math
import random
from typing import Final
from typing import cast
from typing import final

from loguru import logger

from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.settings_relay import SettingsRelay
from baobabpulley.model.documents import FLEET_PREFIX
from baobabpulley.model.documents import TEAMS_PREFIX
from baobabpulley.model.documents import StoredEntry
from baobabpulley.policy.own_watch import OwnWatch

RETRY_MIN_SECONDS: Final = 0.2
RETRY_MAX_SECONDS: Final = 2.0
IDLE_PERIOD_SECONDS: Final = 0.2
_WATCHED_PREFIXES: Final = (TEAMS_PREFIX, FLEET_PREFIX)


@keeper_parts.register("settings_watch")
@final
class SettingsWatch(KeeperPart):
    """Watch the settings in the store from the known revision on.

    A keeper reads all keys only if it has no settings yet, or if the store has compacted the
    revisions that it needs. Only the watchers of a failure domain hold a watch, and for some time a
    keeper whose settings the store hasn't confirmed for too long, to it or to others.
    """

    __slots__ = ("_context", "_delay", "_own_watch", "_random", "_snapshot_needed")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._delay = RETRY_MIN_SECONDS
        self._random = random.Random(context.node.id)
        self._snapshot_needed = False
        self._own_watch = OwnWatch(not_before=math.inf, random=self._random)

    async def start(self) -> None:
        # The others confirm the settings with their first replies.
        grace = self._relay.confirmation.max_age
        self._own_watch = OwnWatch(
            not_before=self._context.timers.boot_time() + grace, random=self._random
        )
        self._context.timers.after(0.0, self._follow_forever, name="watch")

    async def _follow_forever(self) -> None:
        while True:
            if not self._should_watch():
                await self._context.timers.sleep(IDLE_PERIOD_SECONDS)
                continue
            try:
                await self._follow()
            except StoreCompacted:
                self._snapshot_needed = True
            except StoreUnavailable as error:
                self._own_watch.record_failure(now=self._context.timers.boot_time())
                logger.debug("settings watch failed, retrying: {}", error.message)
            except Exception:
                logger.exception("settings watch failed, retrying")
            # Full jitter, so that the keepers do not all reconnect at once after an outage.
            await self._context.timers.sleep(self._random.uniform(0.0, self._delay))
            self._delay = min(RETRY_MAX_SECONDS, self._delay * 2)

    async def _follow(self) -> None:
        settings_state = self._context.view.settings_state
        if self._snapshot_needed or settings_state.revision == 0:
            await self._read_snapshot()
        watch = self._context.store.watch(
            FLEET_PREFIX, from_revision=settings_state.revision + 1, last_prefix=TEAMS_PREFIX
        )
        async with contextlib.aclosing(watch) as batches:  # type: ignore[type-var]
            async for batch in batches:
                self._delay = RETRY_MIN_SECONDS
                settings_state.install(_watched(batch.entries), revision=batch.revision)
                if batch.revision:
                    self._relay.confirmation.record(self._context.timers.boot_time() - batch.age)
                if not self._should_watch():
                    return

    def _should_watch(self) -> bool:
        if self._relay.is_watcher:
            return True
        now = self._context.timers.boot_time()
        confirmation = self._relay.confirmation
        was_due = self._own_watch.is_due(is_stale=False, now=now)
        is_due = self._own_watch.is_due(is_stale=confirmation.is_stale(now=now), now=now)
        if is_due and not was_due:
            logger.warning(
                "nobody has confirmed the settings for {:.1f} s; watching the store for a while",
                confirmation.age(now=now),
            )
        return is_due

    async def _read_snapshot(self) -> None:
        asked_at = self._context.timers.boot_time()
        snapshot = await self._context.store.read(FLEET_PREFIX, last_prefix=TEAMS_PREFIX)
        self._context.view.settings_state.install_snapshot(
            _watched(snapshot.entries), revision=snapshot.revision
        )
        self._relay.confirmation.record(asked_at)
        self._snapshot_needed = False

    @property
    def _relay(self) -> SettingsRelay:
        return cast(SettingsRelay, self._context.parts["settings_relay"])


def _watched(entries: tuple[StoredEntry, ...]) -> list[StoredEntry]:
    return [entry for entry in entries if entry.key.startswith(_WATCHED_PREFIXES)]
