"""Keepers' decisions about orders to an upstream, for ``baobabpulley explain``."""

from __future__ import annotations

import datetime

from baobabpulley.adapters.pynng_peers import PynngPeers
from baobabpulley.errors import BaobabError
from baobabpulley.model.messages import OrderDecision
from baobabpulley.model.messages import OrderDecisionsRequest
from baobabpulley.model.messages import OrderDecisionsResponse
from baobabpulley.settings import NodeSection
from baobabpulley.settings import PeersSection
from baobabpulley.settings import Settings
from baobabpulley.timers import TimerService

REQUEST_TIMEOUT_SECONDS = 5.0


async def request_order_decisions(
    settings: Settings, addresses: tuple[str, ...], upstream: str
) -> dict[str, OrderDecisionsResponse | str]:
    """Return each keeper's response, or the error message if there is none, by address."""
    node = settings.get(NodeSection)
    peers = PynngPeers(
        node=f"{node.id}/explain", section=settings.get(PeersSection), timers=TimerService()
    )
    responses: dict[str, OrderDecisionsResponse | str] = {}
    try:
        for address in addresses:
            request = OrderDecisionsRequest(upstream=upstream)
            try:
                responses[address] = await peers.request(
                    address,
                    request,
                    reply_type=OrderDecisionsResponse,
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
            except BaobabError as error:
                responses[address] = error.message
    finally:
        peers.close()
    return responses


def describe_orders(address: str, response: OrderDecisionsResponse) -> str:
    """Return a keeper's decisions as lines of text."""
    role = (
        f"issues orders with fencing token {response.fence}"
        if response.holds
        else "issues no orders now"
    )
    head = f"{response.vm} at {address}, failure domain {response.failure_domain}: {role}"
    return "\n".join([head, *(_describe_decision(decision) for decision in response.decisions)])


def _describe_decision(decision: OrderDecision) -> str:
    at = datetime.datetime.fromtimestamp(decision.at, tz=datetime.UTC)
    model = f"{decision.model} version {decision.version}" if decision.model else ""
    columns = [f"  {at:%H:%M:%S}", decision.what, decision.upstream, model]
    if decision.order:
        columns.append(f"order {decision.order}")
    if decision.reason:
        columns.append(f"({decision.reason})")
    return "  ".join(column for column in columns if column)
