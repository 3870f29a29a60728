"""The sections of a gateway's settings file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from baobabpulley.settings import Address
from baobabpulley.settings import Count
from baobabpulley.settings import Name
from baobabpulley.settings import Seconds
from baobabpulley.settings import Share
from baobabpulley.settings import section

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


@section("node", "gateway")
class GatewayNodeSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this process is and where it listens.

    ``news_port`` is the UDP port on which gateways tell each other their loads; it is the same on
    all of them. ``metrics_port`` serves ``/metrics`` on the VM's own address.
    """

    id: Name
    failure_domain: Name
    callers: Address
    readiness: Address
    control: Address
    news_port: Port
    metrics_port: Port = 9464


@section("store", "gateway")
class StoreSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration store. Durations are in seconds.

    ``watch_wait`` bounds one waiting watch, so that a silent connection is found;
    ``returned_within`` is how long upstreams may take to register anew after an outage.
    """

    address: Address
    watch_wait: Seconds = 5.0
    longest_pause: Seconds = 0.6
    returned_within: Seconds = 2.2
    member_lease: Seconds = 30.0


@section("peers", "gateway")
class GatewayPeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Other gateways: control addresses to ask first. Durations are in seconds."""

    seeds: tuple[Address, ...] = ()
    news_period: Seconds = 0.1
    quiet_period: Seconds = 0.5
    heard_within: Seconds = 3.0


@section("repeats", "gateway")
class RetryBudgetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many repeats all gateways together may send to a service in ``window`` seconds."""

    ratio: Share = 0.1
    slack: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    window: Seconds = 10.0


@section("shutdown", "gateway")
class GatewayShutdownSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds of a graceful shutdown.

    ``balancer_lag`` is how long new connections still come; ``grace`` when the process is killed.
    """

    balancer_lag: Seconds = 3.2
    grace: Seconds = 8.0


@section("engines", "gateway")
class EnginesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory reserved at engines.

    ``ticket_hold`` is the seconds that a reservation outlives its last renewal, so also the death
    of this process. An engine may carry a renewal out seconds late, after the release; the memory
    is then lost for so long once more.
    """

    ticket_hold: Seconds = 1.8
    ticket_renewal: Seconds = 0.3
    max_waiting: Count = 2000
