"""Calls of the command line to running entries, with the fleet's secret."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.adapters.envelope import make_sealer
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.entry.credentials import CREDENTIAL_HEADER
from baobabpulley.entry.credentials import make_credential
from baobabpulley.errors import BaobabError
from baobabpulley.settings import PeersSection
from baobabpulley.settings import Settings

REQUEST_TIMEOUT_SECONDS: Final = 5.0

T = TypeVar("T")


@final
class EntryClient:
    """Ask entries what only the fleet's own tools may see."""

    __slots__ = ("_client", "_sealer")

    def __init__(self, settings: Settings) -> None:
        peers = settings.get(PeersSection)
        self._client = HttpClient()
        self._sealer = make_sealer(peers, sender="cli")

    async def get_all(
        self, addresses: tuple[str, ...], path: str, *, kind: type[T]
    ) -> list[T | str | None]:
        """Return each entry's answer, ``None`` for 404, or a text that says what went wrong."""
        asked = (self._get(address, path, kind) for address in addresses)
        return list(await asyncio.gather(*asked))

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
                return f"answered with status {status}: {body.decode(errors='replace')}"
            return msgspec.json.decode(body, type=kind)
        except (BaobabError, msgspec.DecodeError) as error:
            return f"no answer: {error}"
