"""Sections of a gateway's settings file."""

from __future__ import annotations

from typing import Annotated
from typing import Final

import msgspec

from baobabpulley.policy.store_confirmation import watch_wait
from baobabpulley.settings import Address
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import Share
from baobabpulley.settings import section

_MS_PER_SECOND: Final = 1000

# The platform names its machines and failure domains; nothing is known of these names.
PlatformName = Annotated[str, msgspec.Meta(min_length=1)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


@section("node", "gateway")
class GatewayNodeSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of the process and the addresses at which it listens.

    ``news_port`` is the UDP port for load gossip; it must be the same on all gateways.
    ``metrics_port`` serves ``/metrics`` on the host of the ``control`` address.
    """

    id: PlatformName
    failure_domain: PlatformName
    callers: Address
    readiness: Address
    control: Address
    news_port: Port
    metrics_port: Port = 9464


@section("store", "gateway")
class StoreSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration store; durations are in seconds.

    ``in_force_within_ms`` is the time in milliseconds within which a change that the store accepted
    is to be in force. ``watch_wait`` bounds the wait of one watch call further, see ``call_wait``.
    ``longest_pause`` is the maximum backoff between calls to an unavailable store.
    ``returned_within`` is how long upstreams may take to register again after an outage.
    ``member_lease`` is the lease of the gateway's entry in the member list.
    """

    address: Address
    watch_wait: Seconds = 5.0
    longest_pause: Seconds = 0.6
    returned_within: Seconds = 2.2
    member_lease: Seconds = 30.0
    in_force_within_ms: Count = 2000

    @property
    def in_force_within(self) -> float:
        """Seconds within which a change that the store accepted is to be in force."""
        return self.in_force_within_ms / _MS_PER_SECOND

    @property
    def call_wait(self) -> float:
        """Maximum wait of one watch call, so that a stalled connection is detected in time."""
        return min(self.watch_wait, watch_wait(in_force_within=self.in_force_within))


@section("peers", "gateway")
class GatewayPeersSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Gossip with other gateways; durations are in seconds.

    ``seeds`` are control addresses of gateways that are contacted whether or not they are known as
    members. Changed state is published every ``news_period``, and unchanged state after
    ``quiet_period`` as a keepalive. A gateway counts as live if it sent a message within
    ``heard_within``.
    """

    seeds: tuple[Address, ...] = ()
    news_period: Seconds = 0.1
    quiet_period: Seconds = 0.5
    heard_within: Seconds = 3.0


@section("repeats", "gateway")
class RetryBudgetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Budget of the retries that all gateways together may send to a service.

    In any ``window`` seconds, the budget is ``slack`` retries plus ``ratio`` for each request.
    With ``lending``, gateways lend each other single retries for long prompts.
    """

    ratio: Share = 0.1
    slack: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    window: Seconds = 10.0
    lending: bool = False


@section("shutdown", "gateway")
class GatewayShutdownSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations of a graceful shutdown in seconds.

    ``balancer_lag`` is how long the load balancer may still send new connections; ``grace`` is the
    time from the start of the shutdown until the process is killed. For ``lenient_admission``
    seconds, requests are admitted that are expected to end in time; later ones only if their
    deadline is in time.
    """

    balancer_lag: Seconds = 3.2
    grace: Seconds = 8.0
    # The load balancer asks once a second and takes a gateway out after two misses.
    lenient_admission: Seconds = 2.5


@section("memory", "gateway")
class MemorySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory in MB and number of descriptors that the machine has for this process; 0: no limit."""

    machine_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0


@section("engines", "gateway")
class EnginesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory reservations at engines, and the length of the admission queue.

    A reservation expires ``ticket_hold`` seconds after its last renewal, so also if this process
    dies. An engine may execute a renewal seconds late, after the release; the memory then stays
    reserved for another ``ticket_hold``. ``ticket_renewal`` is the seconds between renewals, and
    ``max_waiting`` the number of requests that may wait for an upstream. Reserved memory may be
    unused for ``max_idle_ms`` milliseconds at most.
    """

    ticket_hold: Seconds = 1.8
    ticket_renewal: Seconds = 0.3
    max_waiting: Count = 2000
    max_idle_ms: Count = 9000

    @property
    def max_idle(self) -> float:
        """Seconds for which reserved memory may be unused."""
        return self.max_idle_ms / _MS_PER_SECOND


@section("cold", "gateway")
class ColdSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the deployment on the requests that a cold upstream gets in a second.

    All gateways together may send it ``overage`` times the rate of its service, plus ``slack``.
    """

    overage: Annotated[float, msgspec.Meta(ge=1)] = 1.0
    slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
