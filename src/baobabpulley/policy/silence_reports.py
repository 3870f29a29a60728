"""Reports of silent engines between gateways, with few bytes.

A gateway of many runs a stream at few of the engines, so most gateways can't see a pause themselves
when a third of the engines falls silent at the same moment. Those that see one report it at once;
while it lasts, one of them repeats it. A report counts for a short time only, and isn't passed on
by gateways that only heard it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import final

# What another gateway reported is ignored after this.
MAX_REPORT_AGE_SECONDS: Final = 0.6
# A silence that lasts is reported again after this, unless another gateway has done so.
REPORT_PERIOD_SECONDS: Final = 0.4
# Keeps a gossip message within one packet of the usual size.
MAX_REPORTS_PER_MESSAGE: Final = 16


@final
class SilenceReports:
    """When silent engines were last reported; ``now`` is in seconds of the monotonic clock."""

    __slots__ = ("_heard", "_sent")

    def __init__(self) -> None:
        self._heard: dict[str, float] = {}
        self._sent: dict[str, float] = {}

    def heard(self, *, now: float) -> dict[str, float]:
        """Return the engines that other gateways found silent a short time ago, and when."""
        if self._heard:
            self._heard = _recent(self._heard, now)
        return self._heard

    def receive(self, engines: Iterable[str], *, now: float) -> None:
        """Record which engines another gateway finds silent now."""
        for engine in engines:
            self._heard[engine] = now

    def take_due(self, silent: Iterable[str], *, now: float) -> tuple[str, ...]:
        """Return which of the engines that are silent now the next message is to report."""
        if self._sent:
            self._sent = _recent(self._sent, now)
        due = [engine for engine in silent if self._is_due(engine, now)][:MAX_REPORTS_PER_MESSAGE]
        for engine in due:
            self._sent[engine] = now
        return tuple(due)

    def _is_due(self, engine: str, now: float) -> bool:
        since = now - REPORT_PERIOD_SECONDS
        return self._sent.get(engine, since) <= since and self._heard.get(engine, since) <= since


def _recent(times: dict[str, float], now: float) -> dict[str, float]:
    since = now - MAX_REPORT_AGE_SECONDS
    return {engine: at for engine, at in times.items() if at >= since}
