"""Credentials for orders, and alarms for engines whose orders are not authenticated."""

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
    """Select the credential of an order, and raise an alarm once per upstream that lacks it.

    A new holder of the order lease raises the alarms again.
    """

    __slots__ = ("_alarmed", "_credential", "_metrics", "_settings_state")

    def __init__(
        self, *, credential: str, settings_state: SettingsState, metrics: KeeperMetrics
    ) -> None:
        self._credential = credential
        self._settings_state = settings_state
        self._metrics = metrics
        self._alarmed: set[tuple[str, str]] = set()

    def credential(self, upstream: Upstream) -> str:
        """Return the credential of an order, "" for an engine that does not check it.

        Such an engine would only learn a secret that it has no use for.
        """
        return (
            self._credential
            if self._settings_state.services[upstream.service].checks_sender
            else ""
        )

    def alarm_if_unauthenticated(self, upstream: Upstream) -> str:
        """Raise an alarm if orders to an upstream are not authenticated, and return its text.

        Returns "" if they are, or if the alarm has been raised already.
        """
        checks = self._settings_state.services[upstream.service].checks_sender
        if checks and self._credential:
            return ""
        kind = ALARM_NO_CREDENTIAL if checks else ALARM_SENDER_UNCHECKED
        if (upstream.id, kind) in self._alarmed:
            return ""
        self._alarmed.add((upstream.id, kind))
        text = "[tender] credential is not set; engines that check the sender will refuse orders"
        if not checks:
            text = "accepts orders from any sender; only network rules restrict access to its port"
        logger.warning("alarm {}: {} {}", kind, upstream.id, text)
        self._metrics.alarms.labels(kind=kind).inc()
        return text

    def reset_alarms(self) -> None:
        """Allow all alarms to be raised again, for a new holder of the order lease."""
        self._alarmed.clear()
