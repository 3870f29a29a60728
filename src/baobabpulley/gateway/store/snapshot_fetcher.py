"""Fetch the state of other gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import WholeResponse
from baobabpulley.adapters.http_client import fetch_response
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import BaobabError
from baobabpulley.gateway.store.compression import COMPRESSED_TYPE
from baobabpulley.gateway.store.compression import decompress
from baobabpulley.gateway.store.confirmation_header import parse_confirmation
from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_snapshot import as_received
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.policy.store_confirmation import StoreConfirmation
from baobabpulley.timers import TimerService

SNAPSHOT_PATH: Final = "/snapshot"
_TIMEOUT_SECONDS: Final = 0.5
# Number of peers that a gateway without a configuration asks at least.
_FIRST_SNAPSHOTS: Final = 3
# MessagePack encodes a snapshot, an array of two to five fields, with one of these first bytes.
_SNAPSHOT_STARTS: Final = (b"\x92", b"\x93", b"\x94", b"\x95")

_decoder = msgspec.msgpack.Decoder(FleetSnapshot)


@final
class SnapshotFetcher:
    """Apply the snapshots of other gateways to the state of this one."""

    __slots__ = ("_client", "_confirmation", "_fleet_state", "_timers")

    def __init__(
        self,
        *,
        client: HttpClient,
        fleet_state: FleetState,
        confirmation: StoreConfirmation,
        timers: TimerService,
    ) -> None:
        self._client = client
        self._fleet_state = fleet_state
        self._confirmation = confirmation
        self._timers = timers

    async def fetch(self, address: str) -> bool:
        """Fetch and apply a peer's snapshot; return whether it was newer."""
        requested_at = self._timers.boot_time()
        try:
            response = await fetch_response(
                self._client,
                address=address,
                method="GET",
                path=SNAPSHOT_PATH,
                headers={"Accept": COMPRESSED_TYPE},
                timeout=_TIMEOUT_SECONDS,
            )
            if response.status != 200:
                return False
            snapshot = _decode(response.body)
        except (BaobabError, *DECODE_ERRORS) as error:
            logger.bind(event="peer_unheard", peer=address).info(
                "no valid snapshot from the peer: {}", error
            )
            return False
        if era_of(snapshot.revision) < era_of(self._fleet_state.revision):
            # What the peer has confirmed is of a store that has lost its latest writes since.
            return False
        newer = snapshot.revision > self._fleet_state.revision
        if newer and self._fleet_state.install(snapshot, now=self._timers.now(), source=address):
            logger.bind(event="snapshot", peer=address, revision=number_of(snapshot.revision)).info(
                "applied a peer's snapshot"
            )
        self._confirm(response, requested_at=requested_at)
        return newer

    async def fetch_newer(self, addresses: Iterable[str]) -> None:
        """Fetch snapshots from peers in turn until one is newer.

        Without a configuration, ask several peers, as the first may have been cut off for long.
        """
        to_ask = _FIRST_SNAPSHOTS if self._fleet_state.table is None else 1
        found = False
        for asked, address in enumerate(addresses, start=1):
            found = await self.fetch(address) or found
            if found and asked >= to_ask:
                return

    def _confirm(self, response: WholeResponse, *, requested_at: float) -> None:
        """Record the peer's confirmation: this gateway has all of its changes now."""
        confirmed_at = parse_confirmation(
            response.headers, requested_at=requested_at, now=self._timers.boot_time()
        )
        if confirmed_at is not None:
            self._confirmation.record(confirmed_at)


def _decode(body: bytes) -> FleetSnapshot:
    # Gateways of earlier versions don't compress.
    is_compressed = not body.startswith(_SNAPSHOT_STARTS)
    return as_received(_decoder.decode(decompress(body) if is_compressed else body))
