"""Decide which upstreams are leaving: by registrations, their own words, and reports of peers.

A rolling restart makes upstreams leave one after another under full load. An upstream says so in
its responses, at times before its registration does, and its registration may say that it is ready
for a while after that: heartbeats rewrite the entry as it was. What a response said therefore
holds until a registration proves that it no longer applies:

- it has a later start time, so it is of another incarnation under the same id;
- it says that the upstream is draining, as from then on the registrations are up to date, and
  older ones are held back (`baobabpulley.policy.registration_order`);
- it was removed.

A restarted upstream normally has a new id, to which nothing that was said before applies.

A peer's report of what an upstream said there counts like a response here, with two differences,
as it may be late or wrong. It expires unless it is repeated, and it has no effect if the peer
didn't know the present registration yet. And if the reports alone would take most of a service's
upstreams away, none of them is followed: gateways that then send to an upstream which is indeed
leaving hear so from itself, while refusing callers on the word of others could be an outage.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from baobabpulley.model.servers import ListedUpstream

# A report that isn't repeated is dropped after this.
REPORT_SECONDS: Final = 30.0
# Reports are followed if they leave this ratio of the upstreams that a service would have.
MIN_REMAINING_RATIO: Final = 0.5


@final
class LeavingUpstreams:
    """The upstreams known to be leaving while registered as ready.

    Those that said so in a response here, and those of which only peers reported it; ``now`` is in
    seconds of the monotonic clock.
    """

    __slots__ = ("_ready_since", "_report_ends", "_start_times")

    def __init__(self) -> None:
        # The start time of the incarnation that is leaving, by upstream id.
        self._start_times: dict[str, int] = {}
        # When the report expires, for upstreams of which only peers reported it.
        self._report_ends: dict[str, float] = {}
        # The store revision from which an upstream has been registered as ready.
        self._ready_since: dict[str, int] = {}

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._start_times

    @property
    def said_count(self) -> int:
        """Number of upstreams that said so in a response."""
        return len(self._start_times) - len(self._report_ends)

    @property
    def reported_count(self) -> int:
        """Number of upstreams of which only peers reported it."""
        return len(self._report_ends)

    def has_said_so(self, upstream: str) -> bool:
        """Whether an upstream said in a response that it is leaving."""
        return upstream in self._start_times and upstream not in self._report_ends

    def is_only_reported(self, upstream: str) -> bool:
        """Whether nothing but reports of peers says that an upstream is leaving."""
        return upstream in self._report_ends

    def record(self, upstream: ListedUpstream) -> None:
        """Record that an upstream said in a response that it is leaving."""
        self._start_times[upstream.id] = upstream.born
        self._report_ends.pop(upstream.id, None)

    def record_report(
        self, listed: ListedUpstream, *, born: int, revision: int, now: float
    ) -> bool:
        """Record a peer's report that an upstream which started at ``born`` is leaving.

        ``revision`` is the store revision that the peer had reached. Return whether the report
        applies and nothing else says that the upstream is leaving.
        """
        if listed.born != born or self._ready_since.get(listed.id, 0) > revision:
            return False
        if listed.leaving and listed.id not in self._report_ends:
            return False
        self._start_times[listed.id] = born
        self._report_ends[listed.id] = now + REPORT_SECONDS
        return True

    def take_expired(self, *, now: float) -> list[str]:
        """Drop the reports that were not repeated, and return the ids of their upstreams."""
        expired = [upstream for upstream, end in self._report_ends.items() if end <= now]
        for upstream in expired:
            self._drop(upstream)
        return expired

    def is_leaving(self, registered: ListedUpstream, *, revision: int) -> bool:
        """Whether an upstream is leaving according to a new registration and its responses.

        ``revision`` is the store revision of the registration.
        """
        if registered.leaving:
            self.forget(registered.id)
            return True
        self._ready_since.setdefault(registered.id, revision)
        leaving_since = self._start_times.get(registered.id)
        if leaving_since is None:
            return False
        if registered.born > leaving_since:
            self._drop(registered.id)
            return False
        return True

    def accepting(self, upstreams: Sequence[ListedUpstream]) -> list[ListedUpstream]:
        """Return the upstreams of a service, of all those listed, that may get new requests."""
        remaining = [upstream for upstream in upstreams if not upstream.leaving]
        if not self._report_ends:
            return remaining
        with_reported = [
            upstream
            for upstream in upstreams
            if not upstream.leaving or upstream.id in self._report_ends
        ]
        follows_reports = len(remaining) >= MIN_REMAINING_RATIO * len(with_reported)
        return remaining if follows_reports else with_reported

    def forget(self, upstream: str) -> None:
        """Drop what was said, as an upstream was removed or is registered as draining."""
        self._drop(upstream)
        self._ready_since.pop(upstream, None)

    def _drop(self, upstream: str) -> None:
        self._start_times.pop(upstream, None)
        self._report_ends.pop(upstream, None)
