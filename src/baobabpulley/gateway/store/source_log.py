"""Log where a gateway's changes come from, and whether the store confirms its state."""

from __future__ import annotations

from typing import final

from loguru import logger

from baobabpulley.gateway.store.fleet_state import STORE
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.timers import TimerService


@final
class SourceLog:
    """Log changes of the source of a `FleetState`, each with the position reached."""

    __slots__ = ("_confirmation", "_fleet_state", "_source", "_timers", "_was_stale")

    def __init__(
        self, *, fleet_state: FleetState, confirmation: StoreConfirmation, timers: TimerService
    ) -> None:
        self._fleet_state = fleet_state
        self._confirmation = confirmation
        self._timers = timers
        self._source: str | None = None
        self._was_stale = False

    @property
    def position(self) -> dict[str, float]:
        """Fields of a log line: the revision reached and the age of its confirmation in seconds."""
        age = self._confirmation.age(now=self._timers.boot_time())
        return {
            "revision": number_of(self._fleet_state.revision),
            "era": era_of(self._fleet_state.revision),
            "confirmation_age": round(age, 3),
        }

    def log_source(self, source: str) -> None:
        """Log from where changes come from now on: `STORE`, or a gateway that relays them."""
        if source == self._source:
            return
        self._source = source
        if source == STORE:
            logger.bind(event="store_watch", **self.position).info("watching the store")
        else:
            logger.bind(event="store_relay", peer=source, **self.position).info(
                "following a gateway's watch"
            )

    def log_staleness(self, *, is_stale: bool) -> None:
        """Log when changes may begin to be missing, and when the store has confirmed all again."""
        if self._fleet_state.table is None or is_stale == self._was_stale:
            return
        self._was_stale = is_stale
        if is_stale:
            logger.bind(event="configuration_unconfirmed", **self.position).warning(
                "changes may be missing: neither the store nor a gateway confirms the state;"
                " serving goes on with it"
            )
        else:
            logger.bind(event="configuration_confirmed", **self.position).info(
                "the store has confirmed the state again"
            )
