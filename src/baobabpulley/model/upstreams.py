"""Upstreams and nodes as the platform's VM list and the peers describe them."""

from __future__ import annotations

from typing import Annotated
from typing import Final

import msgspec

LIVE: Final = "live"
LEAVING: Final = "leaving"

LifecycleState = Annotated[str, msgspec.Meta(pattern="^(live|leaving)$")]


class Vm(msgspec.Struct, frozen=True):
    """One row of the platform's VM list.

    ``role`` is ``entry`` or ``upstream``. ``address`` is the ``ip:port`` of an upstream's HTTP
    server or of an entry VM's keeper; ``service`` is empty for entry VMs. ``http`` is the
    address at which an entry VM's entry takes callers, empty if it is not known.
    """

    id: str
    role: str
    failure_domain: str
    address: str
    service: str = ""
    state: LifecycleState = LIVE
    http: str = ""


class LoadReport(msgspec.Struct, frozen=True):
    """What an engine says of its load; it is older than its arrival by an unknown lag.

    Token figures are counts; rates are tokens in a second of model time. ``age`` is how old the
    figures were when the engine sent them. ``queued_high`` counts the prefill tokens that wait
    or run at the priority of shorts, ``queued`` those at any priority. ``long_prefills`` counts
    the running and waiting prefills below that priority.
    """

    upstream: str
    incarnation: str
    sequence: int
    queued: int
    queued_high: int
    running: int
    long_prefills: int
    memory_total: int
    memory_held: int
    prefill_rate: float
    models: tuple[str, ...] = ()
    state: LifecycleState = LIVE
    age: float = 0.0


class Upstream(msgspec.Struct, frozen=True):
    """A back end that takes requests."""

    id: str
    service: str
    failure_domain: str
    address: str
    state: LifecycleState = LIVE
