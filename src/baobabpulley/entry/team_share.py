"""This entry's share of one team's limit on tokens in flight."""

from __future__ import annotations

from typing import final

from baobabpulley.model.reservation_messages import TeamUsage


@final
class TeamShare:
    """A leased share of a team's limit, and the tokens in use. Times are model seconds.

    While a request for a larger share is pending, renewals report the requested share, since the
    owner may have granted it already.
    """

    __slots__ = ("_held", "_lease_end", "_requested", "_spent", "_version")

    def __init__(self, *, version: int = 0) -> None:
        self._held = 0
        self._requested = 0
        self._spent: dict[str, int] = {}
        self._lease_end = 0.0
        self._version = version

    @property
    def held(self) -> int:
        """Tokens of the share, in use or not."""
        return self._held

    @property
    def version(self) -> int:
        """Version of the last request for a share."""
        return self._version

    @property
    def in_use(self) -> int:
        """Tokens of requests in flight."""
        return sum(self._spent.values())

    def covers(self, tokens: int, *, now: float, no_keeper: bool) -> bool:
        """Whether the share covers more tokens without a request to the owner.

        With ``no_keeper`` no keeper responds: then none can have granted the share to others, and
        it stays valid after its lease has expired.
        """
        leased = now < self._lease_end or (no_keeper and self._lease_end > 0)
        return leased and self.in_use + tokens <= self._held

    def has_request(self, request_id: str) -> bool:
        """Whether a request is counted already."""
        return request_id in self._spent

    def spend(self, request_id: str, tokens: int) -> None:
        """Count a request's tokens as in use."""
        self._spent[request_id] = tokens

    def refund(self, request_id: str) -> None:
        """Stop counting a request's tokens; idempotent."""
        self._spent.pop(request_id, None)

    def begin_request(self, want: int) -> int:
        """Record that a request for ``want`` tokens is pending; return its version.

        Call `expire` first, as the request states the share that is held.
        """
        self._version += 1
        self._requested = want
        return self._version

    def end_request(self, held: int | None, *, until: float) -> None:
        """Apply the granted share; ``None`` if the request was refused or got no response."""
        self._requested = 0
        if held is not None:
            self._held = held
            self._lease_end = until

    def record_renewal(self, *, until: float) -> None:
        """Extend the lease after a renewal."""
        if self._held:
            self._lease_end = max(self._lease_end, until)

    def release_unused(self) -> None:
        """Release the tokens that are not in use, unless a request is pending."""
        if not self._requested:
            self._held = min(self._held, self.in_use)

    def expire(self, *, now: float) -> None:
        """Reduce the share to what is in use if the lease has expired.

        The owner may have granted the rest to others.
        """
        if now >= self._lease_end:
            self._held = min(self._held, self.in_use)

    def usage_report(self, team: str, *, now: float) -> TeamUsage:
        """Return the usage to report in a renewal."""
        self.expire(now=now)
        return TeamUsage(
            team=team,
            held=max(self._held, self._requested),
            in_use=self.in_use,
            version=self._version,
        )
