"""What this entry may spend of one team's tokens in flight."""

from __future__ import annotations

from typing import final

from baobabpulley.model.reservation_messages import TeamUsage


@final
class TeamShare:
    """A leased share of a team's limit, and what is spent of it. Times are model seconds.

    While a question is on its way the share stated to the home is the one that was asked for,
    since the home may have granted it already.
    """

    __slots__ = ("_asked", "_held", "_spent", "_until", "_version")

    def __init__(self, *, version: int = 0) -> None:
        self._held = 0
        self._asked = 0
        self._spent: dict[str, int] = {}
        self._until = 0.0
        self._version = version

    @property
    def held(self) -> int:
        """Tokens that may be spent."""
        return self._held

    @property
    def version(self) -> int:
        """Version of the last question."""
        return self._version

    @property
    def in_use(self) -> int:
        """Tokens of requests in flight."""
        return sum(self._spent.values())

    def covers(self, tokens: int, *, now: float, no_keeper: bool) -> bool:
        """Whether tokens can be spent without asking the home.

        ``no_keeper`` says that no keeper answers: then none can have granted the share anew, and it
        stays spendable past its lease.
        """
        leased = now < self._until or (no_keeper and self._until > 0)
        return leased and self.in_use + tokens <= self._held

    def has_request(self, request_id: str) -> bool:
        """Whether a request has been counted already."""
        return request_id in self._spent

    def spend(self, request_id: str, tokens: int) -> None:
        """Count a request in."""
        self._spent[request_id] = tokens

    def refund(self, request_id: str) -> None:
        """Count a request out; idempotent."""
        self._spent.pop(request_id, None)

    def begin_request(self, want: int) -> int:
        """Note that a question is on its way; return its version.

        Call `expire` before: the question states the share that is held.
        """
        self._version += 1
        self._asked = want
        return self._version

    def end_request(self, held: int | None, *, until: float) -> None:
        """Take over an answer; ``None`` if there was none."""
        self._asked = 0
        if held is not None:
            self._held = held
            self._until = until

    def record_renewal(self, *, until: float) -> None:
        """Note that the home has renewed the lease."""
        if self._held:
            self._until = max(self._until, until)

    def release_unused(self) -> None:
        """Keep only what is in use."""
        if not self._asked:
            self._held = min(self._held, self.in_use)

    def expire(self, *, now: float) -> None:
        """Keep only what is in use once the lease has lapsed; the rest may be granted anew."""
        if now >= self._until:
            self._held = min(self._held, self.in_use)

    def usage_report(self, team: str, *, now: float) -> TeamUsage:
        """Return what to state in a renewal."""
        self.expire(now=now)
        return TeamUsage(
            team=team,
            held=max(self._held, self._asked),
            in_use=self.in_use,
            version=self._version,
        )
