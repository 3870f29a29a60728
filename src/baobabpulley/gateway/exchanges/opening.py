"""Resolve a caller's request to its route, client account, service and deadline."""

from __future__ import annotations

import random
from typing import Final
from typing import final

from baobabpulley.errors import BadToken
from baobabpulley.errors import NotFound
from baobabpulley.errors import NotReady
from baobabpulley.errors import NoUpstream
from baobabpulley.gateway.callers.replies import Reply
from baobabpulley.gateway.exchanges.exchange_state import NOT_READY_RETRY_AFTER_SECONDS
from baobabpulley.gateway.exchanges.exchange_state import Exchange
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.exchanges import IncomingRequest
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.model.routes import Account
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import RoutingTable
from baobabpulley.model.routes import Service
from baobabpulley.policy.deadlines import request_times
from baobabpulley.timers import TimerService

# A request that arrives during start-up waits this long for the first configuration.
FIRST_CONFIGURATION_TIMEOUT_SECONDS: Final = 0.25


@final
class ExchangeOpener:
    """Resolve requests against the current configuration."""

    __slots__ = ("_fleet_state", "_random", "_timers")

    def __init__(self, *, fleet_state: FleetState, timers: TimerService) -> None:
        self._fleet_state = fleet_state
        self._timers = timers
        self._random = random.Random()

    async def open(
        self, incoming: IncomingRequest, reply: Reply, parameters: RequestParameters
    ) -> Exchange:
        """Return the exchange; raise `NotReady`, `NotFound`, `BadToken` or `NoUpstream`."""
        table = await self._table()
        route = table.find(incoming.host, incoming.target)
        if route is None:
            raise NotFound(f"no route of host {incoming.host[:64]} matches the path")
        account = self._account(table, route, parameters)
        service = self._service(table, route)
        return Exchange(
            incoming=incoming,
            reply=reply,
            parameters=parameters,
            route=route,
            service=service,
            account=account,
            times=request_times(
                route,
                arrived=incoming.arrived,
                remaining=parameters.remaining,
                priority=None if account is None else account.priority,
            ),
        )

    async def _table(self) -> RoutingTable:
        table = self._fleet_state.table
        if table is None:
            seconds = self._timers.to_real_seconds(FIRST_CONFIGURATION_TIMEOUT_SECONDS)
            table = await self._fleet_state.wait_for_table(seconds=seconds)
        if table is None:
            raise NotReady(
                "the gateway has not received a configuration yet",
                retry_after=NOT_READY_RETRY_AFTER_SECONDS,
            )
        return table

    def _account(
        self, table: RoutingTable, route: Route, parameters: RequestParameters
    ) -> Account | None:
        account = None if parameters.key is None else table.account(parameters.key)
        if account is None and table.needs_keys and not route.anonymous:
            raise BadToken("the key belongs to no client account")
        return account

    def _service(self, table: RoutingTable, route: Route) -> Service:
        shares = [share for share in route.shares if share.weight > 0]
        if not shares:
            raise NoUpstream(
                f"route {route.name} has no service with a positive weight", retry_after=1.0
            )
        chosen = self._random.choices(shares, weights=[share.weight for share in shares])[0]
        return table.service(chosen.service) or Service(
            name=chosen.service, max_connections=0, engine=None
        )
