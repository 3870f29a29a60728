"""Keep a `FleetState` up to date from the store, or from peers while it is unavailable."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterable
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import BaobabError
from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreUnavailable
from baobabpulley.gateway.fleet_state import FleetSnapshot
from baobabpulley.gateway.fleet_state import FleetState
from baobabpulley.gateway.sections import StoreSection
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.timers import TimerService

SNAPSHOT_PATH: Final = "/snapshot"
# Empty prefix: gateways read and watch all keys of the store.
ALL_KEYS: Final = ""
_INITIAL_BACKOFF_SECONDS: Final = 0.05
_SNAPSHOT_TIMEOUT_SECONDS: Final = 0.5
# After a longer outage, leases of live upstreams may have expired, so removals are delayed.
_OUTAGE_SECONDS: Final = 0.5

_decoder = msgspec.msgpack.Decoder(FleetSnapshot)


@final
class StoreLink:
    """Read all keys and watch them in one task; read them again when the watch can't continue."""

    __slots__ = (
        "_client",
        "_disconnected_at",
        "_fleet_state",
        "_has_snapshot",
        "_random",
        "_removal_delay_until",
        "_section",
        "_store",
        "_task",
        "_timers",
    )

    def __init__(
        self,
        *,
        store: ConfigStore,
        fleet_state: FleetState,
        client: HttpClient,
        section: StoreSection,
        timers: TimerService,
    ) -> None:
        self._store = store
        self._fleet_state = fleet_state
        self._client = client
        self._section = section
        self._timers = timers
        self._random = random.Random()
        self._disconnected_at: float | None = None
        self._removal_delay_until = 0.0
        self._has_snapshot = False
        self._task: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._disconnected_at is None

    def start(self) -> None:
        """Start to follow the store."""
        self._task = asyncio.get_running_loop().create_task(self._follow(), name="store")
        self._timers.every(0.2, self._remove_expired, name="delayed removals")

    def restart(self) -> None:
        """Restart the watch at once, as its connection may have stalled."""
        if self._task is not None:
            self._task.cancel()
            self._task = asyncio.get_running_loop().create_task(self._follow(), name="store")

    async def fetch_snapshot(self, address: str) -> bool:
        """Fetch and apply a peer's snapshot; return whether it was newer."""
        try:
            status, body = await fetch(
                self._client,
                address=address,
                method="GET",
                path=SNAPSHOT_PATH,
                timeout=_SNAPSHOT_TIMEOUT_SECONDS,
            )
            if status != 200:
                return False
            snapshot = _decoder.decode(body)
        except (BaobabError, msgspec.DecodeError) as error:
            logger.bind(event="peer_unheard", peer=address).info(
                "no valid snapshot from the peer: {}", error
            )
            return False
        newer = snapshot.revision > self._fleet_state.revision
        if newer and self._fleet_state.install(snapshot, now=self._timers.now()):
            logger.bind(event="snapshot", peer=address, revision=snapshot.revision).info(
                "applied a peer's snapshot"
            )
        return newer

    async def fetch_newer_snapshot(self, addresses: Iterable[str]) -> None:
        """Fetch snapshots from peers in turn until one is newer."""
        for address in addresses:
            if await self.fetch_snapshot(address):
                return

    def _remove_expired(self) -> None:
        if self._disconnected_at is None:
            self._fleet_state.remove_expired(now=self._timers.now())

    async def _follow(self) -> None:
        failures = 0
        while True:
            try:
                await self._read_and_watch()
            except StoreCompacted:
                logger.bind(event="store_compacted").info(
                    "the store compacted the history of the watch; reading all keys again"
                )
                self._has_snapshot = False
                continue
            except StoreUnavailable as error:
                failures = failures + 1 if self._disconnected_at is not None else 1
                self._mark_disconnected(error)
            backoff = min(self._section.longest_pause, _INITIAL_BACKOFF_SECONDS * 2**failures)
            await self._timers.sleep(self._random.uniform(0.5, 1.0) * backoff)

    async def _read_and_watch(self) -> None:
        if not self._has_snapshot:
            snapshot = await self._store.read(ALL_KEYS)
            self._mark_connected()
            self._fleet_state.install(
                FleetSnapshot(revision=snapshot.revision, entries=snapshot.entries),
                now=self._timers.now(),
                removal_delay=self._removal_delay(),
            )
            self._has_snapshot = True
        changes = self._store.watch(ALL_KEYS, from_revision=self._fleet_state.revision)
        async with contextlib.aclosing(changes):
            async for batch in changes:
                self._mark_connected()
                self._fleet_state.apply_changes(
                    batch.entries,
                    revision=batch.revision,
                    now=self._timers.now(),
                    removal_delay=self._removal_delay(),
                )

    def _removal_delay(self) -> float:
        """Return the seconds by which removals are delayed.

        Registrations may expire while the store is unavailable; their upstreams register again.
        """
        return max(0.0, self._removal_delay_until - self._timers.now())

    def _mark_disconnected(self, error: StoreUnavailable) -> None:
        if self._disconnected_at is None:
            self._disconnected_at = self._timers.now()
            logger.bind(event="store_lost").warning(
                "lost connection to the store: {}", error.message
            )

    def _mark_connected(self) -> None:
        if self._disconnected_at is None:
            return
        now = self._timers.now()
        outage = now - self._disconnected_at
        if outage > _OUTAGE_SECONDS:
            self._removal_delay_until = now + self._section.returned_within
        logger.bind(event="store_regained", away=round(outage, 2)).info("store reachable again")
        self._disconnected_at = None
