"""Which failure domains get no new requests because the operators evacuate them.

Load pattern: a failure domain with a third of the upstreams is evacuated under full load, alone or
with another one, and used again when that ends, mostly with cold upstreams. Unlike poor health, an
evacuation has no exception: an upstream of such a domain gets nothing even if there is no other.
"""

from __future__ import annotations

from typing import final

import msgspec

from baobabpulley.model.servers import ListedUpstream


class EvacuationEnd(msgspec.Struct, frozen=True):
    """The end of an evacuation.

    ``revision`` is the store revision at which it is known to be over, and ``at`` when this gateway
    learned it, in monotonic seconds.
    """

    revision: int
    at: float


@final
class EvacuatedDomains:
    """The evacuated failure domains, and when earlier evacuations ended.

    Changes of one domain count in the order of their store revisions, whatever order they come in.
    """

    __slots__ = ("_begun", "_domains", "_ends")

    def __init__(self) -> None:
        # Store revision of the latest request to evacuate, by domain that is evacuated.
        self._begun: dict[str, int] = {}
        self._domains: frozenset[str] = frozenset()
        self._ends: dict[str, EvacuationEnd] = {}

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains that are evacuated now."""
        return self._domains

    def begin(self, domain: str, *, revision: int) -> bool:
        """Record a request to evacuate a domain; return whether it was not evacuated before."""
        end = self._ends.get(domain)
        if end is not None and revision <= end.revision:
            return False
        is_new = domain not in self._begun
        self._begun[domain] = max(revision, self._begun.get(domain, 0))
        self._domains = frozenset(self._begun)
        return is_new

    def end(self, domain: str, *, revision: int, now: float) -> bool:
        """Record that the request for a domain was removed; return whether it was evacuated.

        An end is recorded also if its beginning was never seen, as other gateways may have seen it.
        """
        last = self._ends.get(domain)
        if revision < self._begun.get(domain, 0) or (last and revision <= last.revision):
            return False
        was_evacuated = self._begun.pop(domain, None) is not None
        self._domains = frozenset(self._begun)
        self._ends[domain] = EvacuationEnd(revision=revision, at=now)
        return was_evacuated

    def accepts(self, upstream: ListedUpstream) -> bool:
        """Whether an upstream may get new requests, as far as evacuations are concerned."""
        return upstream.failure_domain not in self._domains

    def last_end(self, domain: str) -> EvacuationEnd | None:
        """Return the latest end of an evacuation of a domain, ``None`` if none is known."""
        return self._ends.get(domain)
