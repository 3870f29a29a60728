"""Decide which upstreams are leaving, from their registrations and from what they said themselves.

A rolling restart makes upstreams leave one after another under full load. An upstream says so in
its responses, at times before its registration does, and its registration may say that it is ready
for a while after that: heartbeats rewrite the entry as it was. What a response said therefore
holds until a registration proves that it no longer applies:

- it has a later start time, so it is of another incarnation under the same id;
- it says that the upstream is draining, as from then on the registrations are up to date;
- it was removed.

A restarted upstream normally has a new id, to which nothing that was said before applies.
"""

from __future__ import annotations

from typing import final

from baobabpulley.model.servers import ListedUpstream


@final
class LeavingUpstreams:
    """The upstreams that said in a response that they are leaving while registered as ready."""

    __slots__ = ("_start_times",)

    def __init__(self) -> None:
        # The start time of the incarnation that said so, by upstream id.
        self._start_times: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._start_times)

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._start_times

    def record(self, upstream: ListedUpstream) -> None:
        """Record that an upstream said in a response that it is leaving."""
        self._start_times[upstream.id] = upstream.born

    def is_leaving(self, registered: ListedUpstream) -> bool:
        """Whether an upstream is leaving according to a new registration and its responses."""
        said_by = self._start_times.get(registered.id)
        if said_by is None:
            return registered.leaving
        if registered.leaving or registered.born > said_by:
            self.forget(registered.id)
            return registered.leaving
        return True

    def forget(self, upstream: str) -> None:
        """Drop what an upstream said, as it was removed."""
        self._start_times.pop(upstream, None)
