"""The engine time that client accounts used recently beyond their even share, over all gateways.

The load: twice what the engines can serve, from 24 client accounts of which a few send most of it.
Each account is to get the same share of what it asked for. So a served request is charged with its
seconds less the share that is served now, and a refused one credits its account with that share.
Without congestion everything is served and nothing is charged. Amounts decay, so that an account
neither hoards credit nor pays for old use.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Final
from typing import final

# Time constant of the decay of an account's use.
USE_DECAY_SECONDS: Final = 2.0
# Time constant of the served share. A longer one is late when a burst begins or ends.
SHARE_DECAY_SECONDS: Final = 2.0
# Amounts are decayed in steps, so that a lookup in a pass over the queue costs no exponential.
DECAY_STEP_SECONDS: Final = 0.01
# Smaller amounts are forgotten and not gossiped.
MIN_SECONDS: Final = 0.01


@final
class AccountUse:
    """Seconds of engine work by account; positive if it got more than the others' share."""

    __slots__ = ("_asked", "_at", "_own", "_peers", "_served", "_total")

    def __init__(self) -> None:
        self._own: dict[str, float] = defaultdict(float)
        self._peers: dict[str, dict[str, float]] = {}
        self._total: dict[str, float] = defaultdict(float)
        self._asked = 0.0
        self._served = 0.0
        self._at = 0.0

    @property
    def served_share(self) -> float:
        """Share of the work asked of this gateway that was served recently."""
        return self._served / self._asked if self._asked > MIN_SECONDS else 1.0

    def record(self, account: str, seconds: float, *, served: bool, now: float) -> None:
        """Record that a request of ``seconds`` of engine work was served, or refused."""
        self._decay(now)
        self._asked += seconds
        self._served += seconds if served else 0.0
        charge = (seconds if served else 0.0) - self.served_share * seconds
        self._own[account] += charge
        self._total[account] += charge

    def receive(self, node: str, rows: Iterable[tuple[str, float]], *, now: float) -> None:
        """Replace what another gateway reported; amounts that are not finite are ignored."""
        self._decay(now)
        self.forget(node)
        reported = {account: seconds for account, seconds in rows if math.isfinite(seconds)}
        self._peers[node] = reported
        for account, seconds in reported.items():
            self._total[account] += seconds

    def forget(self, node: str) -> None:
        """Forget what another gateway reported."""
        for account, seconds in self._peers.pop(node, {}).items():
            self._total[account] -= seconds

    def use(self, account: str, *, now: float) -> float:
        """Return an account's use that is known of from all gateways."""
        self._decay(now)
        return self._total.get(account, 0.0)

    def own(self, *, now: float) -> dict[str, float]:
        """Return the use at this gateway by account, without negligible amounts."""
        self._decay(now)
        return {
            account: seconds
            for account, seconds in self._own.items()
            if abs(seconds) >= MIN_SECONDS
        }

    def _decay(self, now: float) -> None:
        elapsed = now - self._at
        if elapsed < DECAY_STEP_SECONDS:
            return
        self._at = now
        factor = math.exp(-elapsed / USE_DECAY_SECONDS)
        share_factor = math.exp(-elapsed / SHARE_DECAY_SECONDS)
        self._asked *= share_factor
        self._served *= share_factor
        self._own = defaultdict(float, _decayed(self._own, factor))
        peers = {node: _decayed(reported, factor) for node, reported in self._peers.items()}
        self._peers = {node: reported for node, reported in peers.items() if reported}
        # Summed anew, as amounts that were dropped or rounded would otherwise remain in it.
        self._total = defaultdict(float, self._own)
        for reported in self._peers.values():
            for account, seconds in reported.items():
                self._total[account] += seconds


def _decayed(amounts: dict[str, float], factor: float) -> dict[str, float]:
    return {
        account: seconds * factor
        for account, seconds in amounts.items()
        if abs(seconds * factor) >= MIN_SECONDS / 10
    }
