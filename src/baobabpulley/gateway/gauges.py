"""Gauges of the state that a gateway knows, each computed on a scrape."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final
from typing import final

from baobabpulley.gateway.callers.listener import CallerListener
from baobabpulley.gateway.exchanges.connection_watch import ConnectionWatch
from baobabpulley.gateway.metrics import GatewayMetrics
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.gateway.store.store_link import StoreLink
from baobabpulley.gateway.tunnels.tunnel_server import TunnelServer
from baobabpulley.gateway.tunnels.upstream_connector import UpstreamConnector
from baobabpulley.logs import dropped_line_count
from baobabpulley.model.revisions import number_of
from baobabpulley.policy.memory_budget import UNLIMITED
from baobabpulley.ports.config_store import MemberStore


@final
class GaugeSources:
    """The components of a gateway whose state is shown."""

    __slots__ = (
        "connector",
        "evidence",
        "fleet_state",
        "gossip",
        "link",
        "listener",
        "placer",
        "record",
        "store",
        "tunnels",
        "watch",
    )

    def __init__(
        self,
        *,
        connector: UpstreamConnector,
        evidence: CrashEvidence,
        fleet_state: FleetState,
        gossip: GossipProtocol,
        link: StoreLink,
        listener: CallerListener,
        placer: Placer,
        record: UpstreamRecord,
        store: MemberStore,
        tunnels: TunnelServer,
        watch: ConnectionWatch,
    ) -> None:
        self.connector = connector
        self.evidence = evidence
        self.fleet_state = fleet_state
        self.gossip = gossip
        self.link = link
        self.listener = listener
        self.placer = placer
        self.record = record
        self.store = store
        self.tunnels = tunnels
        self.watch = watch


GaugeValue = Callable[[GaugeSources], float]

# Help text and value, by name without the prefix of all metrics.
_GAUGES: Final[dict[str, tuple[str, GaugeValue]]] = {}


def register_gauges(metrics: GatewayMetrics, sources: GaugeSources) -> None:
    """Add all gauges to the metrics of a gateway."""
    for name, (text, value) in _GAUGES.items():
        metrics.add_gauge(name, text, partial(value, sources))


def _gauge(text: str) -> Callable[[GaugeValue], GaugeValue]:
    """Return a decorator that registers a gauge under the name of its function."""

    def add(value: GaugeValue) -> GaugeValue:
        _GAUGES[value.__name__] = (text, value)
        return value

    return add


@_gauge("Version of the configuration in force")
def configuration_version(sources: GaugeSources) -> float:
    table = sources.fleet_state.table
    return 0 if table is None else table.version


@_gauge("Revision of the store followed")
def store_revision(sources: GaugeSources) -> float:
    return number_of(sources.fleet_state.revision)


@_gauge("Latest era of the store that it stated to this gateway")
def store_era(sources: GaugeSources) -> float:
    return sources.store.era


@_gauge("1 while the store answers")
def store_connected(sources: GaugeSources) -> float:
    return float(sources.link.connected)


@_gauge("Seconds since the store last confirmed what this gateway knows")
def store_confirmation_age(sources: GaugeSources) -> float:
    return sources.link.confirmation_age


@_gauge("Calls made to the store")
def store_calls(sources: GaugeSources) -> float:
    return sources.store.calls


@_gauge("Bytes of the changes kept for gateways that follow this one")
def change_log_bytes(sources: GaugeSources) -> float:
    return sources.fleet_state.change_log_bytes


@_gauge("Idle connections to upstreams kept from use so far, as another one went silent")
def connections_set_aside(sources: GaugeSources) -> float:
    return sources.watch.set_aside


@_gauge("1 while this gateway reaches upstreams only through other gateways")
def cut_off(sources: GaugeSources) -> float:
    return float(sources.connector.is_cut_off)


@_gauge("Connections to upstreams opened through other gateways so far")
def tunnels_used(sources: GaugeSources) -> float:
    return sources.connector.tunnels_used


@_gauge("Connections to upstreams opened for other gateways so far")
def tunnels_opened(sources: GaugeSources) -> float:
    return sources.tunnels.opened


@_gauge("Connections to upstreams that are open for other gateways")
def tunnels_active(sources: GaugeSources) -> float:
    return sources.tunnels.active


@_gauge("Gateways known, this one included")
def gateways(sources: GaugeSources) -> float:
    return sources.gossip.gateway_count


@_gauge("Bytes of news sent to other gateways")
def news_bytes(sources: GaugeSources) -> float:
    return sources.gossip.traffic.sent


@_gauge("Bytes of news sent to gateways of other failure domains through relays")
def news_bytes_remote(sources: GaugeSources) -> float:
    return sources.gossip.remote_traffic.sent


@_gauge("Requests that wait for an upstream")
def waiting(sources: GaugeSources) -> float:
    return sources.placer.waiting


@_gauge("Client accounts with requests that wait for an upstream")
def waiting_accounts(sources: GaugeSources) -> float:
    return sources.placer.waiting_accounts


@_gauge("Requests being served")
def in_flight(sources: GaugeSources) -> float:
    return sources.listener.active_requests


@_gauge("Bytes held for callers: bodies, answers and events not yet read, connections")
def memory_held_bytes(sources: GaugeSources) -> float:
    return sources.listener.guard.budget.used_bytes


@_gauge("Bytes that may be held for callers, 0 without a limit")
def memory_limit_bytes(sources: GaugeSources) -> float:
    limit = sources.listener.guard.budget.limit_bytes
    return 0 if limit == UNLIMITED else limit


@_gauge("Whole answers that wait for memory")
def answers_waiting(sources: GaugeSources) -> float:
    return sources.listener.guard.budget.answers_waiting


@_gauge("Open connections of callers")
def caller_connections(sources: GaugeSources) -> float:
    return sources.listener.connection_count


@_gauge("Upstreams listed")
def upstreams(sources: GaugeSources) -> float:
    return len(sources.fleet_state.upstreams)


@_gauge("Upstreams that are leaving")
def upstreams_leaving(sources: GaugeSources) -> float:
    return sum(upstream.leaving for upstream in sources.fleet_state.upstreams.values())


@_gauge("Failure domains that the operators evacuate")
def evacuated_domains(sources: GaugeSources) -> float:
    return len(sources.fleet_state.evacuations.domains)


@_gauge("Parts of prompts that crash engines")
def quarantined_parts(sources: GaugeSources) -> float:
    return sources.evidence.quarantined


@_gauge("Of these, upstreams registered as ready that said so in a response")
def upstreams_said_leaving(sources: GaugeSources) -> float:
    return sources.fleet_state.said_leaving_count


@_gauge("Of these, upstreams registered as ready that said so to other gateways only")
def upstreams_reported_leaving(sources: GaugeSources) -> float:
    return sources.fleet_state.reported_leaving_count


@_gauge("Upstreams that asked for no requests for now")
def upstreams_backpressured(sources: GaugeSources) -> float:
    return len(sources.record.backpressured_upstreams())


@_gauge("Upstreams that asked other gateways for no requests for now")
def upstreams_backpressure_hinted(sources: GaugeSources) -> float:
    return len(sources.record.hinted_upstreams())


@_gauge("Upstreams that are cold, of services that limit their requests meanwhile")
def cold_upstreams(sources: GaugeSources) -> float:
    return len(sources.record.cold.cold_upstreams())


@_gauge("Upstreams kept from work for now")
def upstreams_unusable(sources: GaugeSources) -> float:
    listed = tuple(sources.fleet_state.upstreams.values())
    return len(listed) - len(sources.record.usable(listed))


@_gauge("Log lines that no reader took")
def log_lines_left_out(sources: GaugeSources) -> float:
    return dropped_line_count()
