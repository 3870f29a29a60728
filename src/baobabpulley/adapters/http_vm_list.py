"""HTTP client for the platform's VM list: ``GET /vms`` returns a JSON array of rows.

Requests carry the ``Etag`` of the last list, so an unchanged list isn't transferred again.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import StoreUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.vm_list import VmList
from baobabpulley.timers import TimerService

READ_TIMEOUT_SECONDS: Final = 2.0
OK: Final = 200
NOT_MODIFIED: Final = 304


@final
class HttpVmList(VmList):
    """Read the VM list from one address."""

    __slots__ = ("_address", "_client", "_etag", "_rows", "_timers")

    def __init__(self, *, client: HttpClient, address: str, timers: TimerService) -> None:
        self._client = client
        self._address = address
        self._timers = timers
        self._etag = ""
        self._rows: tuple[Vm, ...] = ()

    async def read(self) -> tuple[Vm, ...]:
        timeout = self._timers.to_real_seconds(READ_TIMEOUT_SECONDS)
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with (
                asyncio.timeout(timeout),
                self._client.call(
                    address=self._address,
                    method="GET",
                    path="/vms",
                    headers=headers,
                    head_timeout=timeout,
                ) as response,
            ):
                body = await response.body(idle_timeout=timeout)
                if response.status == NOT_MODIFIED and self._etag:
                    return self._rows
                if response.status != OK:
                    raise StoreUnavailable(f"the VM list returned status {response.status}")
                self._rows = msgspec.json.decode(body, type=tuple[Vm, ...])
                self._etag = response.headers.get("Etag", "")
                return self._rows
        except (TimeoutError, UpstreamLost, UpstreamUnreachable, *DECODE_ERRORS) as error:
            raise StoreUnavailable(
                f"cannot read the VM list from {self._address}: {error}"
            ) from error
