"""The platform's VM list over HTTP: ``GET /vms`` answers a JSON array of rows."""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.errors import StoreUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreached
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.vm_list import VmList
from baobabpulley.timers import TimerService

TIMEOUT: Final = 2.0


@final
class HttpVmList(VmList):
    """Read the list from one address."""

    __slots__ = ("_address", "_client", "_timers")

    def __init__(self, *, client: HttpClient, address: str, timers: TimerService) -> None:
        self._client = client
        self._address = address
        self._timers = timers

    async def read(self) -> tuple[Vm, ...]:
        try:
            status, body = await fetch(
                self._client,
                address=self._address,
                method="GET",
                path="/vms",
                timeout=self._timers.real(TIMEOUT),
            )
            if status != 200:
                raise StoreUnavailable(f"the VM list answered with status {status}")
            return msgspec.json.decode(body, type=tuple[Vm, ...])
        except (UpstreamLost, UpstreamUnreached, msgspec.DecodeError) as error:
            raise StoreUnavailable(f"the VM list does not answer: {error}") from error
