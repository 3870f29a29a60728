"""Interface of the platform's list of live and leaving VMs, which lags behind."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from baobabpulley.model.upstreams import Vm


class VmList(ABC):
    """Access to the VM list."""

    @abstractmethod
    async def read(self) -> tuple[Vm, ...]:
        """Return all rows; raise `StoreUnavailable` if the platform does not respond."""
