"""The context of a keeper process, and the registry of its parts."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import final

from prometheus_client import CollectorRegistry

from baobabpulley.adapters.metrics import KeeperMetrics
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.membership import Membership
from baobabpulley.ports.peers import Peers
from baobabpulley.ports.vm_list import VmList
from baobabpulley.registry import Registry
from baobabpulley.settings import NodeSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService


@final
class KeeperContext:
    """Services and parts of one keeper process."""

    __slots__ = (
        "address",
        "engine",
        "metrics",
        "node",
        "parts",
        "peers",
        "settings",
        "store",
        "timers",
        "view",
        "vm_list",
    )

    def __init__(
        self,
        *,
        settings: Settings,
        node: NodeSection,
        address: str,
        timers: TimerService,
        peers: Peers,
        store: ConfigStore,
        vm_list: VmList,
        engine: Engine,
        view: FleetView,
        metrics: KeeperMetrics,
    ) -> None:
        self.settings = settings
        self.node = node
        self.address = address
        self.timers = timers
        self.peers = peers
        self.store = store
        self.vm_list = vm_list
        self.engine = engine
        self.view = view
        self.metrics = metrics
        self.parts: dict[str, KeeperPart] = {}

    @property
    def registry(self) -> CollectorRegistry:
        """Metrics registry of this process."""
        return self.metrics.registry

    @property
    def membership(self) -> Membership:
        """Which keepers are live; available once all parts are built."""
        part = self.parts["membership"]
        assert isinstance(part, Membership)
        return part


class KeeperPart(ABC):
    """A component of the keeper, such as membership or orders."""

    @abstractmethod
    def __init__(self, context: KeeperContext) -> None:
        """Read the context; start nothing yet."""

    @property
    def bytes_per_second(self) -> float:
        """Control traffic of this part, both directions, excluding heartbeats and loads."""
        return 0.0

    @abstractmethod
    async def start(self) -> None:
        """Register message handlers and timers."""

    async def stop(self) -> None:
        """Hand over state that must not be lost; called on graceful shutdown."""
        return


keeper_parts: Registry[type[KeeperPart]] = Registry("keeper part")
