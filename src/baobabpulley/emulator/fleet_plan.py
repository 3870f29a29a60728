"""The composition of a local fleet."""

from __future__ import annotations

from typing import final

from baobabpulley.model.limits import Limit


@final
class FleetPlan:
    """Which processes to start, and with which settings.

    ``daemons`` are the kinds of daemons to start, and ``dialect`` is how engines run long
    prefills, ``chunked`` or ``whole``.
    Ports are assigned upwards from ``base_port``. ``engine_domains`` names the failure domain of
    each engine; without it engines are assigned to ``domains`` round robin. ``speed`` is the number
    of model seconds in a real second. ``vm_list_lag`` is in model seconds. With ``links`` the
    failure domains reach each other and the platform over links that tests can partition.
    """

    __slots__ = (
        "base_port",
        "daemons",
        "dialect",
        "domains",
        "engine_domains",
        "engine_options",
        "engines",
        "entries",
        "entry_sections",
        "keeper_sections",
        "limits",
        "links",
        "plain_services",
        "speed",
        "vm_list_lag",
    )

    def __init__(
        self,
        *,
        base_port: int,
        domains: tuple[str, ...] = ("fes", "meknes", "rabat"),
        entries: int = 4,
        engines: int = 6,
        plain_services: int = 1,
        speed: float = 1.0,
        vm_list_lag: float = 1.0,
        engine_options: tuple[str, ...] = (),
        engine_domains: tuple[str, ...] = (),
        limits: dict[str, Limit] | None = None,
        entry_sections: dict[str, dict[str, str]] | None = None,
        keeper_sections: dict[str, dict[str, str]] | None = None,
        daemons: tuple[str, ...] = ("keeper", "entry"),
        dialect: str = "chunked",
        links: bool = False,
    ) -> None:
        self.base_port = base_port
        self.daemons = daemons
        self.dialect = dialect
        self.links = links
        self.domains = domains
        self.entries = entries
        self.engines = engines
        self.plain_services = plain_services
        self.speed = speed
        self.vm_list_lag = vm_list_lag
        self.engine_domains = engine_domains or domains
        self.engine_options = engine_options
        self.limits = limits or {
            "souk": Limit(1_000_000, 4_000_000),
            "stall": Limit(100_000, 400_000),
        }
        self.entry_sections = entry_sections or {}
        self.keeper_sections = keeper_sections or {}

    def domain_of(self, index: int) -> str:
        """Return the failure domain of the entry or plain service with an index."""
        return self.domains[index % len(self.domains)]

    def domain_of_engine(self, index: int) -> str:
        """Return the failure domain of the engine with an index."""
        return self.engine_domains[index % len(self.engine_domains)]
