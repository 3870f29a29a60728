"""Requests of the command line to running entries, authenticated by the fleet's secret."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.adapters.envelope import make_sealer
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.entry.credentials import CREDENTIAL_HEADER
from baobabpulley.entry.credentials import make_credential
from baobabpulley.errors import BaobabError
from baobabpulley.settings import PeersSection
from baobabpulley.settings import Settings

REQUEST_TIMEOUT_SECONDS: Final = 5.0

T = TypeVar("T")


@final
class EntryClient:
    """Client of the entries' endpoints that require the fleet's credential."""

    __slots__ = ("_client", "_sealer")

    def __init__(self, settings: Settings) -> None:
        peers = settings.get(PeersSection)
        self._client = HttpClient()
        self._sealer = make_sealer(peers, sender="cli")

    async def get_all(
        self, addresses: tuple[str, ...], path: str, *, kind: type[T]
    ) -> list[T | str | None]:
        """Return each entry's response, ``None`` for status 404, or the text of an error."""
        requests = (self._get(address, path, kind) for address in addresses)
        return list(await asyncio.gather(*requests))

    async def _get(self, address: str, path: str, kind: type[T]) -> T | str | None:
        try:
            status, body = await fetch(
                self._client,
                address=address,
                method="GET",
                path=path,
                headers={CREDENTIAL_HEADER: make_credential(self._sealer, address=address)},
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
            if status == 404:
                return None
            if status != 200:
                return f"responded with status {status}: {body.decode(errors='replace')}"
            return msgspec.json.decode(body, type=kind)
        except (BaobabError, *DECODE_ERRORS) as error:
            return f"no answer: {error}"
