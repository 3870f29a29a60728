"""VMs, upstreams and the load that upstreams report."""

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
    server or of an entry VM's keeper. ``service`` is empty for entry VMs. ``http`` is the address
    at which an entry VM's entry accepts requests, empty if unknown.
    """

    id: str
    role: str
    failure_domain: str
    address: str
    service: str = ""
    state: LifecycleState = LIVE
    http: str = ""


class LoadReport(msgspec.Struct, frozen=True):
    """Load reported by an engine; it reaches the receiver after an unknown delay.

    Memory is in tokens, ``prefill_rate`` in tokens per model second. ``age`` is the age of the
    values when the engine sent them, in model seconds. ``queued`` counts the waiting and running
    prefill tokens of all priorities, ``queued_high`` those at the priority of short prompts.
    ``long_prefills`` counts the waiting and running prefills below that priority.
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
    """A back end that serves requests."""

    id: str
    service: str
    failure_domain: str
    address: str
    state: LifecycleState = LIVE
