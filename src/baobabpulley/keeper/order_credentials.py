"""Who gives an order, shown to the engines that check it and told to operators where none does."""

from __future__ import annotations

from typing import Final
from typing import final

from loguru import logger

from baobabpulley.adapters.metrics import KeeperMetrics
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.model.upstreams import Upstream

ALARM_SENDER_UNCHECKED: Final = "order_sender_unchecked"
ALARM_NO_CREDENTIAL: Final = "order_credential_missing"


@final
class OrderCredentials:
    """Credentials of orders by service, and one notice an upstream and holder where they lack."""

    __slots__ = ("_credential", "_metrics", "_noticed", "_settings_state")

    def __init__(
        self, *, credential: str, settings_state: SettingsState, metrics: KeeperMetrics
    ) -> None:
        self._credential = credential
        self._settings_state = settings_state
        self._metrics = metrics
        self._noticed: set[tuple[str, str]] = set()

    def credential(self, upstream: Upstream) -> str:
        """Return what an order must carry; nothing for an engine that would only learn it."""
        return (
            self._credential
            if self._settings_state.services[upstream.service].checks_sender
            else ""
        )

    def notice(self, upstream: Upstream) -> str:
        """Return, once, what the first order to an upstream relies on without a credential."""
        checks = self._settings_state.services[upstream.service].checks_sender
        if checks and self._credential:
            return ""
        kind = ALARM_NO_CREDENTIAL if checks else ALARM_SENDER_UNCHECKED
        if (upstream.id, kind) in self._noticed:
            return ""
        self._noticed.add((upstream.id, kind))
        text = "[tender] credential is not set; an engine that checks its sender will refuse"
        if not checks:
            text = "takes orders from anybody; only the network keeps others from its port"
        logger.warning("alarm {}: {} {}", kind, upstream.id, text)
        self._metrics.alarms.labels(kind=kind).inc()
        return text

    def reset_notices(self) -> None:
        """Give all notices anew, as a new holder does."""
        self._noticed.clear()
