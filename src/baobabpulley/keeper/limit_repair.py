"""Restore limits that were lowered or deleted in the store by hand.

Every process keeps the larger limit in memory, but a restart of the whole fleet would lose it. So
the keeper that holds its failure domain's order lease writes it back. The lease only saves
requests to the store: the write compares both copies and never lowers one, so it is harmless if
two keepers believe that they hold the lease.
"""

from __future__ import annotations

import random
import secrets
from typing import Final
from typing import cast
from typing import final

from loguru import logger

from baobabpulley.errors import BaobabError
from baobabpulley.keeper.changes import SettingsChanges
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.order_issuer import OrderIssuer
from baobabpulley.model.settings_messages import RaiseLimit
from baobabpulley.policy.rendezvous import ranked

PERIOD_SECONDS: Final = 2.0
MAX_TEAMS_PER_ROUND: Final = 4
MAX_BACKOFF_ROUNDS: Final = 32


@keeper_parts.register("limit_repair")
@final
class LimitRepair(KeeperPart):
    """Restore stored limits that are below those in force, one failure domain after another."""

    __slots__ = ("_context", "_failures", "_random", "_rounds")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._random = random.Random(context.node.id)
        self._rounds = 0
        self._failures = 0

    async def start(self) -> None:
        self._context.timers.every(PERIOD_SECONDS, self.restore, jitter=0.2, name="limit repair")

    async def restore(self) -> None:
        """Write back some limits if this keeper holds the order lease and its wait is over."""
        below = self._context.view.settings_state.teams_below_limit_in_store
        if not below or not cast(OrderIssuer, self._context.parts["tender"]).lease.holds():
            self._rounds = 0
            return
        self._rounds += 1
        if self._rounds <= self._rounds_to_wait():
            return
        try:
            for team in sorted(below)[:MAX_TEAMS_PER_ROUND]:
                await self._restore(team)
            self._failures = 0
        except BaobabError as error:
            logger.debug("could not restore a lowered limit: {}", error.message)
            self._failures += 1
            max_rounds = min(MAX_BACKOFF_ROUNDS, 2**self._failures)
            self._rounds = -self._random.randint(0, max_rounds)

    async def _restore(self, team: str) -> None:
        changes = cast(SettingsChanges, self._context.parts["settings_changes"])
        limit = self._context.view.settings_state.limit(team)
        change_id = f"restore-{secrets.token_hex(8)}"
        if await changes.writer.restore_limit(RaiseLimit(team, change_id, limit)):
            logger.warning("restored the limit in force of team {}, change {}", team, change_id)

    def _rounds_to_wait(self) -> int:
        """Return how many rounds this failure domain waits for the others before it writes."""
        own = self._context.node.failure_domain
        domains = {vm.failure_domain for vm in self._context.view.entry_vms} | {own}
        return ranked("limit repair", domains).index(own)
