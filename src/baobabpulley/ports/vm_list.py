"""The platform's lagging list of live and leaving VMs."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from baobabpulley.model.upstreams import Vm


class VmList(ABC):
    """Read the list."""

    @abstractmethod
    async def read(self) -> tuple[Vm, ...]:
        """Return all rows; raise `StoreUnavailable` if the platform does not answer."""
