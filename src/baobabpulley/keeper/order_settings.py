"""Settings of the order lease and of orders to the engines."""

from __future__ import annotations

from typing import Annotated

import msgspec

from baobabpulley.errors import InvalidSettings
from baobabpulley.settings import Seconds
from baobabpulley.settings import section


@section("tender", "keeper")
class OrderIssuerSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the order lease and of orders. Times are model seconds.

    ``try_again`` is the period of attempts to acquire the lease, ``period`` that of comparing the
    desired and actual state of engines. The holder stops issuing orders ``margin`` before the store
    can expire the lease. ``loads_per_second`` is the rate at which the weight store
    can serve model loads. An order that is not confirmed within ``confirm_within`` is issued again
    under a new id. ``credential`` is the bearer token for engines that authenticate the sender of
    an order.
    """

    ttl: Seconds = 20.0
    margin: Seconds = 7.0
    renew: Seconds = 5.0
    try_again: Seconds = 3.0
    period: Seconds = 1.0
    order_window: Seconds = 3.0
    confirm_within: Seconds = 30.0
    loads_per_second: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    loads_burst: Annotated[float, msgspec.Meta(ge=1)] = 2.0
    credential: str = ""


def checked_times(times: OrderIssuerSection) -> OrderIssuerSection:
    """Return the section if its times keep the guarantees; raise `InvalidSettings` if not."""
    if times.margin <= 2 * times.order_window:
        raise InvalidSettings(
            f"[tender] margin = {times.margin:g} is not more than twice order_window = "
            f"{times.order_window:g}",
            remedy="Raise margin, or lower order_window if all engines' read timeouts allow it.",
        )
    if times.ttl <= times.margin + 2 * times.renew:
        raise InvalidSettings(
            f"[tender] ttl = {times.ttl:g} is not more than margin = {times.margin:g} plus twice "
            f"renew = {times.renew:g}",
            remedy="Raise ttl above margin + 2 * renew.",
        )
    return times
