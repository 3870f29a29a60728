"""Relay the store's changes to the gateways of the failure domain that don't watch it themselves.

A gateway without a watch keeps one request for changes pending at a gateway that has one. It is
answered with the next change, or as soon as the store has confirmed that there is none.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch_response
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import UpstreamLost
from baobabpulley.gateway.store.compression import compress
from baobabpulley.gateway.store.compression import decompress
from baobabpulley.gateway.store.confirmation_header import parse_confirmation
from baobabpulley.gateway.store.fleet_snapshot import as_received
from baobabpulley.gateway.store.fleet_snapshot import as_sent
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.timers import TimerService

CHANGES_PATH: Final = "/changes"
# A request for changes is answered after this time even if there are none.
MAX_WAIT_SECONDS: Final = 2.0
UPDATE_TIMEOUT_SECONDS: Final = MAX_WAIT_SECONDS + 0.7


class FleetUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes up to a store revision, or all entries of that revision if ``is_full``.

    Removals are delayed by ``removal_delay`` seconds. ``connected`` is whether the store answers
    the sender. ``covers_evacuations`` and ``era`` are as for `FleetSnapshot`.
    """

    revision: int
    entries: tuple[StoredEntry, ...]
    is_full: bool
    removal_delay: float
    connected: bool
    covers_evacuations: bool = False
    era: int = 0


class ReceivedUpdate(msgspec.Struct, frozen=True):
    """An update, and when the store confirmed it (`TimerService.boot_time`), if the sender told."""

    update: FleetUpdate
    confirmed_at: float | None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetUpdate)


@final
class ChangePublisher:
    """Answer requests for changes as soon as there are any, or a confirmation of the store."""

    __slots__ = ("_changed", "_encoded", "_fleet_state", "_timers")

    def __init__(
        self, *, fleet_state: FleetState, confirmation: StoreConfirmation, timers: TimerService
    ) -> None:
        # The latest update and its encoding: most followers ask for the same.
        self._encoded: tuple[FleetUpdate, bytes] | None = None
        self._fleet_state = fleet_state
        self._timers = timers
        self._changed = asyncio.Event()
        fleet_state.listen(self._wake)
        confirmation.listen(self._wake)

    @property
    def revision(self) -> int:
        """Ordered store revision up to which changes can be answered."""
        return self._fleet_state.revision

    async def update_since(
        self, revision: int, *, removal_delay: Callable[[], float], connected: Callable[[], bool]
    ) -> FleetUpdate:
        """Return the changes after a revision; wait for the next news if there are none."""
        if self._fleet_state.revision <= revision:
            seconds = self._timers.to_real_seconds(MAX_WAIT_SECONDS)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), seconds)
        changes = self._fleet_state.changes_since(revision)
        entries = self._fleet_state.registered_snapshot().entries if changes is None else changes
        return FleetUpdate(
            revision=self._fleet_state.revision,
            entries=entries,
            is_full=changes is None,
            removal_delay=removal_delay(),
            connected=connected(),
            covers_evacuations=not self._fleet_state.may_lack_evacuations,
        )

    def encode(self, update: FleetUpdate) -> bytes:
        """Return an update as it is sent."""
        if self._encoded is None or self._encoded[0] != update:
            self._encoded = (update, compress(_encoder.encode(as_sent(update))))
        return self._encoded[1]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def fetch_update(
    client: HttpClient, address: str, *, after: int, timers: TimerService, timeout: float
) -> ReceivedUpdate:
    """Return a gateway's changes after a revision, none if the store confirms that there are none.

    ``timeout`` bounds the whole call, in seconds. Raise `UpstreamUnreachable` or `UpstreamLost`.
    """
    requested_at = timers.boot_time()
    response = await fetch_response(
        client,
        address=address,
        method="GET",
        path=f"{CHANGES_PATH}?after={number_of(after)}&era={era_of(after)}",
        timeout=timers.to_real_seconds(timeout),
    )
    if response.status != 200:
        raise UpstreamLost(f"{address} answered {response.status} to a request for changes")
    try:
        update = as_received(_decoder.decode(decompress(response.body)))
    except DECODE_ERRORS as error:
        raise UpstreamLost(f"{address} sent invalid changes: {error}") from error
    confirmed_at = parse_confirmation(
        response.headers, requested_at=requested_at, now=timers.boot_time()
    )
    return ReceivedUpdate(update, confirmed_at)
