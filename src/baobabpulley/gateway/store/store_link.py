"""Keep a `FleetState` up to date from the store.

Two gateways of each failure domain watch the store, the others follow one of them. While the store
is unavailable, changes come from any peer that has them.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import BaobabError
from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreUnavailable
from baobabpulley.gateway.sections import StoreSection
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_state import STORE
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.source_log import SourceLog
from baobabpulley.gateway.store.store_connection import StoreConnection
from baobabpulley.gateway.store.store_relay import UPDATE_TIMEOUT_SECONDS
from baobabpulley.gateway.store.store_relay import FleetUpdate
from baobabpulley.gateway.store.store_relay import fetch_update
from baobabpulley.gateway.store.store_watchers import StoreWatchers
from baobabpulley.model.revisions import era_of
from baobabpulley.policy.backoff import backoff_seconds
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.policy.store_contact import StoreContact
from baobabpulley.policy.token_bucket import TokenBucket
from baobabpulley.ports.config_store import MemberStore
from baobabpulley.ports.config_store import WatchBatch
from baobabpulley.timers import TimerService

# Empty prefix: gateways read and watch all keys of the store.
ALL_KEYS: Final = ""
_INITIAL_BACKOFF_SECONDS: Final = 0.05
# A watch is repeated at once after a few changes, and at this rate in a storm of changes; so is the
# question to a gateway that answers without changes.
_WATCHES_PER_SECOND: Final = 5.0
_WATCH_BURST: Final = 3.0
# How often delayed removals that are due, and the choice of the gateway to follow, are looked at.
_REMOVAL_PERIOD_SECONDS: Final = 0.1
_RELAY_PERIOD_SECONDS: Final = 0.2
# A gateway that the store failed, and that follows another, asks it again after this time.
_PROBE_PERIOD_SECONDS: Final = 3.0
_PROBE_JITTER: Final = 0.4
_OLDER_ERA: Final = "it doesn't know yet that the store came back from a copy"
_UNCONFIRMED: Final = "the store hasn't confirmed for too long what it sends"


@final
class StoreLink:
    """Follow the store in one task.

    Read all keys once. Then watch them, or follow a gateway that does. Read them again when the
    watch can't continue.
    """

    __slots__ = (
        "_client",
        "_confirmation",
        "_connection",
        "_contact",
        "_fleet_state",
        "_followed",
        "_has_snapshot",
        "_log",
        "_outage_elsewhere",
        "_probe",
        "_random",
        "_section",
        "_store",
        "_task",
        "_timers",
        "_watch_bucket",
        "_watchers",
    )

    def __init__(
        self,
        *,
        store: MemberStore,
        fleet_state: FleetState,
        client: HttpClient,
        section: StoreSection,
        timers: TimerService,
        watchers: StoreWatchers,
        confirmation: StoreConfirmation,
    ) -> None:
        self._watchers = watchers
        full_since = timers.now() - _WATCH_BURST / _WATCHES_PER_SECOND
        self._watch_bucket = TokenBucket(
            rate=_WATCHES_PER_SECOND, burst=_WATCH_BURST, now=full_since
        )
        # Control address of the gateway that is followed; ``None`` while the store is watched.
        self._followed: str | None = None
        self._confirmation = confirmation
        self._contact = StoreContact(max_silence=confirmation.max_age)
        self._probe: asyncio.Task[None] | None = None
        self._log = SourceLog(fleet_state=fleet_state, confirmation=confirmation, timers=timers)
        self._store = store
        self._fleet_state = fleet_state
        self._client = client
        self._section = section
        self._timers = timers
        self._random = random.Random()
        self._connection = StoreConnection(
            returned_within=section.returned_within,
            confirmed_within=section.in_force_within,
            call_wait=section.call_wait,
            timers=timers,
        )
        fleet_state.listen_to_returns(self._connection.delay_removals)
        self._has_snapshot = False
        self._outage_elsewhere = False
        self._task: asyncio.Task[None] | None = None

    @property
    def connected(self) -> bool:
        """Whether the store answers this gateway, or the one that it follows."""
        return self._connection.connected

    @property
    def store_reachable(self) -> bool:
        """Whether the store hasn't failed this gateway, or has answered it since."""
        return not self._contact.is_failing(now=self._timers.boot_time())

    @property
    def followed(self) -> str | None:
        """Control address of the gateway that is followed; ``None`` while the store is watched."""
        return self._followed

    @property
    def confirmation(self) -> StoreConfirmation:
        """When the store confirmed what this gateway knows, in `TimerService.boot_time`."""
        return self._confirmation

    @property
    def confirmation_age(self) -> float:
        """Seconds since that confirmation, infinity before the first."""
        return self._confirmation.age(now=self._timers.boot_time())

    def start(self) -> None:
        """Start to follow the store."""
        self._task = asyncio.get_running_loop().create_task(self._follow(), name="store")
        self._timers.every(_REMOVAL_PERIOD_SECONDS, self._remove_expired, name="delayed removals")
        self._timers.every(_RELAY_PERIOD_SECONDS, self._check_relay, name="store watchers")
        self._timers.every(
            _PROBE_PERIOD_SECONDS, self._probe_store, jitter=_PROBE_JITTER, name="store probe"
        )

    def stop(self) -> None:
        """Stop to follow the store."""
        for task in (self._task, self._probe):
            if task is not None:
                task.cancel()

    def restart(self) -> None:
        """Restart the watch at once, as its connection may have stalled."""
        if self._followed is not None:
            self._watchers.exclude(self._followed)
        self._restart()

    def _restart(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._followed = None
            self._task = asyncio.get_running_loop().create_task(self._follow(), name="store")

    def _remove_expired(self) -> None:
        if self.connected:
            self._fleet_state.remove_expired(now=self._timers.now())

    def _relay(self) -> str | None:
        """Return the gateway to follow, or ``None`` to watch the store.

        A gateway that may lack changes or evacuations, or knows of a newer era, asks the store
        itself, whatever others say of theirs.
        """
        state = self._fleet_state
        is_older_era = self._store.era > era_of(state.revision)
        may_lack = self._is_stale or state.may_lack_evacuations or is_older_era
        if may_lack and self.store_reachable:
            return None
        return self._watchers.relay(store_reachable=self.store_reachable, current=self._followed)

    @property
    def _is_stale(self) -> bool:
        return self._confirmation.is_stale(now=self._timers.boot_time())

    def _check_relay(self) -> None:
        """Change between the store and the gateways that watch it when the watchers change."""
        self._log.log_staleness(is_stale=self._is_stale)
        if self._fleet_state.table is None or self._relay() == self._followed:
            return
        if self._followed is not None and self._is_stale:
            self._leave_relay(self._followed, _UNCONFIRMED)
        self._restart()

    async def _follow(self) -> None:
        failures = 0
        reread_at: int | None = None
        while True:
            try:
                await self._follow_once()
                failures = 0
            except StoreCompacted:
                logger.bind(event="store_compacted", **self._log.position).info(
                    "the store compacted the history of the watch; reading all keys again"
                )
                self._has_snapshot = False
                self._contact.record_answer(now=self._timers.boot_time())
                is_repeated = reread_at == self._fleet_state.revision
                reread_at = self._fleet_state.revision
                if not is_repeated:
                    continue
                # Reading again didn't help, so the store is not asked at once.
                failures += 1
            except StoreUnavailable as error:
                failures = failures + 1 if not self.connected else 1
                if failures > 1:
                    # The store may cut a watch at any time, which says nothing of the next call.
                    self._contact.record_failure()
                self._connection.fail(error.message)
            except Exception:
                failures += 1
                logger.bind(event="store_follow_failed").exception(
                    "unexpected error while following the store; trying again"
                )
            backoff = backoff_seconds(
                failures, first=_INITIAL_BACKOFF_SECONDS, longest=self._section.longest_pause
            )
            await self._timers.sleep(self._random.uniform(0.5, 1.0) * backoff)

    async def _follow_once(self) -> None:
        """Follow a gateway or the store until the one has to be exchanged for the other."""
        self._followed = self._relay()
        if self._followed is None:
            self._contact.begin_watch(now=self._timers.boot_time())
            await self._read_and_watch()
        else:
            self._contact.end_watch(now=self._timers.boot_time())
            await self._follow_peer(self._followed)

    async def _follow_peer(self, address: str) -> None:
        """Apply the changes that a gateway relays, until it fails or is no longer a watcher."""
        self._log.log_source(address)
        while self._relay() == address:
            try:
                received = await fetch_update(
                    self._client,
                    address,
                    after=self._fleet_state.revision,
                    timers=self._timers,
                    timeout=self._relay_timeout(),
                )
            except BaobabError as error:
                self._leave_relay(address, error.message)
                return
            if era_of(received.update.revision) < era_of(self._fleet_state.revision):
                self._leave_relay(address, _OLDER_ERA)
                return
            self._apply_update(received.update, source=address)
            self._confirm(received.confirmed_at)
            if not received.update.entries:
                # Usual are two confirmations a second, which the limit lets pass.
                await self._limit_watches()
        if self._is_stale:
            self._leave_relay(address, _UNCONFIRMED)

    def _relay_timeout(self) -> float:
        """Return the seconds that a request for changes may take.

        If the store can be asked instead, that is the time until it has to be.
        """
        remaining = self._confirmation.max_age - self.confirmation_age
        if remaining <= 0.0 or not self.store_reachable:
            return UPDATE_TIMEOUT_SECONDS
        return min(remaining, UPDATE_TIMEOUT_SECONDS)

    def _leave_relay(self, address: str, reason: str) -> None:
        logger.bind(event="store_relay_lost", peer=address, **self._log.position).info(
            "the gateway doesn't relay changes: {}", reason
        )
        self._watchers.exclude(address)

    def _confirm(self, confirmed_at: float | None) -> None:
        if confirmed_at is not None:
            self._confirmation.record(confirmed_at)

    def _apply_update(self, update: FleetUpdate, *, source: str = "") -> None:
        # Kept, as gateways that follow this one get their delay from it.
        self._connection.receive_delay(update.removal_delay, unconfirmed=self.confirmation_age)
        if update.connected:
            self._connection.regain(unconfirmed=self.confirmation_age)
        else:
            self._connection.lose("the gateway that is followed lost the store")
        now = self._timers.now()
        removal_delay = self.removal_delay()
        if update.is_full:
            snapshot = FleetSnapshot(
                revision=update.revision,
                entries=update.entries,
                covers_evacuations=update.covers_evacuations,
            )
            self._fleet_state.install(snapshot, now=now, removal_delay=removal_delay, source=source)
        else:
            self._fleet_state.apply_changes(
                update.entries,
                revision=update.revision,
                now=now,
                removal_delay=removal_delay,
                source=source,
            )

    async def _read_and_watch(self) -> None:
        # A gateway that takes over from one that lost the store has not seen how long it was away.
        self._outage_elsewhere = self._watchers.store_failed_peer
        self._log.log_source(STORE)
        if not self._has_snapshot or self._fleet_state.may_lack_evacuations:
            asked_at = self._timers.boot_time()
            self._adopt_era()
            snapshot = await self._store.read(ALL_KEYS)
            self._mark_store_reached()
            self._fleet_state.install(
                FleetSnapshot(
                    revision=snapshot.revision, entries=snapshot.entries, covers_evacuations=True
                ),
                now=self._timers.now(),
                removal_delay=self.removal_delay(),
            )
            self._confirm(asked_at)
            self._has_snapshot = True
        self._adopt_era()
        changes = self._store.watch(ALL_KEYS, from_revision=self._fleet_state.revision)
        async with contextlib.aclosing(changes):
            async for batch in changes:
                self._apply_batch(batch)
                if self._relay() is not None or self._fleet_state.may_lack_evacuations:
                    return
                if batch.entries:
                    await self._limit_watches()

    def _adopt_era(self) -> None:
        """Tell the store's client of a return that other gateways may have seen before it."""
        self._store.adopt_era(era_of(self._fleet_state.revision))

    def _apply_batch(self, batch: WatchBatch) -> None:
        if era_of(batch.revision) < era_of(self._fleet_state.revision):
            raise StoreCompacted("the store came back from a copy since the watch began")
        self._mark_store_reached()
        self._fleet_state.apply_changes(
            batch.entries,
            revision=batch.revision,
            now=self._timers.now(),
            removal_delay=self.removal_delay(),
        )
        self._confirm(self._timers.boot_time() - batch.age)

    def _probe_store(self) -> None:
        """Ask the store that failed this gateway, which follows another, whether it answers."""
        if self._followed is None or self.store_reachable:
            return
        if self._probe is None or self._probe.done():
            self._probe = asyncio.get_running_loop().create_task(self._ask_store())

    async def _ask_store(self) -> None:
        self._adopt_era()
        changes = self._store.watch(ALL_KEYS, from_revision=self._fleet_state.revision)
        try:
            async with contextlib.aclosing(changes):
                self._apply_batch(await anext(changes))
        except StoreCompacted:
            self._mark_store_reached()
        except StoreUnavailable as error:
            logger.bind(event="store_probe").debug("no answer yet: {}", error.message)

    async def _limit_watches(self) -> None:
        """Wait until the watch may be repeated, so that a storm of changes comes in few batches."""
        while not self._watch_bucket.take(now=self._timers.now()):
            await self._timers.sleep(1.0 / _WATCHES_PER_SECOND)

    def removal_delay(self) -> float:
        """Return the seconds by which removals are delayed after an outage."""
        return self._connection.removal_delay

    def _mark_store_reached(self) -> None:
        now = self._timers.boot_time()
        silent = self._contact.silence(now=now)
        self._contact.record_answer(now=now)
        unconfirmed = self.confirmation_age
        if self._outage_elsewhere:
            self._outage_elsewhere = False
            self._connection.take_over(unconfirmed=unconfirmed)
        self._connection.answer(unconfirmed=unconfirmed, silent=silent)
