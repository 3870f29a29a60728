"""What gateways report to each other of the use of client accounts, while requests wait."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from baobabpulley.gateway.peers.gossip_messages import AccountUseRow
from baobabpulley.policy.account_use import AccountUse

# Keeps a gossip message within one packet of the usual size.
MAX_ROWS: Final = 24


@final
class AccountUseReports:
    """Rows of one gateway's use, and those received; ``is_waiting`` whether requests wait here."""

    __slots__ = ("_is_waiting", "_use")

    def __init__(
        self, use: AccountUse | None = None, *, is_waiting: Callable[[], bool] = lambda: False
    ) -> None:
        self._use = use or AccountUse()
        self._is_waiting = is_waiting

    def take_due(self, *, now: float) -> tuple[AccountUseRow, ...]:
        """Return the rows to send now, those that change the order most if there are too many."""
        if not self._is_waiting():
            return ()
        own = sorted(self._use.own(now=now).items(), key=lambda row: -abs(row[1]))
        return tuple(
            AccountUseRow(account, round(seconds, 3)) for account, seconds in own[:MAX_ROWS]
        )

    def receive(self, node: str, rows: tuple[AccountUseRow, ...], *, now: float) -> None:
        """Replace what another gateway reported; without rows the earlier ones decay."""
        if rows:
            self._use.receive(node, ((row.account, row.seconds) for row in rows), now=now)

    def forget(self, node: str) -> None:
        """Forget what a gateway reported, which has restarted."""
        self._use.forget(node)
