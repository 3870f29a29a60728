"""When a keeper that has become the owner of a key may start to grant.

Only the previous owner and the holders know what the previous owner granted. A new owner therefore
waits for a grace period of one expiry time, within which every holder has renewed with it or its
grant has expired, unless the previous owner hands over its ledger. A keeper that has handed over a
ledger grants nothing for that key until it has completed a grace period itself, so that a ledger
has at most one owner even if messages are lost, delayed or duplicated.
"""

from __future__ import annotations

from typing import final


@final
class Handover:
    """The keys that holders regard this keeper as the owner of. Times are model seconds."""

    __slots__ = ("_expiry", "_grace_until", "_renewed_at")

    def __init__(self, *, expiry: float) -> None:
        self._expiry = expiry
        self._renewed_at: dict[str, float] = {}
        self._grace_until: dict[str, float] = {}

    def renew(self, key: str, *, now: float) -> None:
        """Record that a holder regards this keeper as the key's owner.

        A key that was not owned before starts its grace period.
        """
        if not self.is_owner(key, now=now):
            self._grace_until[key] = now + self._expiry
        self._renewed_at[key] = now

    def is_owner(self, key: str, *, now: float) -> bool:
        """Whether a holder has named this keeper as the key's owner within one expiry time."""
        renewed_at = self._renewed_at.get(key)
        return renewed_at is not None and now - renewed_at <= self._expiry

    def grace_remaining(self, key: str, *, now: float) -> float:
        """Return the seconds left of the key's grace period, 0 once this keeper may grant.

        >>> handover = Handover(expiry=4.0)
        >>> handover.renew("engine-1", now=10.0)
        >>> handover.grace_remaining("engine-1", now=11.0)
        3.0
        """
        return max(0.0, self._grace_until.get(key, now + self._expiry) - now)

    def grantable_keys(self, *, now: float) -> tuple[str, ...]:
        """Return the keys that this keeper may grant now."""
        return tuple(key for key in self._renewed_at if self._may_grant(key, now))

    def hand_over(self, key: str, *, now: float) -> float | None:
        """Stop granting a key and return when a holder last renewed it.

        Return ``None``, and change nothing, if this keeper may not grant the key.

        >>> handover = Handover(expiry=4.0)
        >>> handover.renew("engine-1", now=10.0)
        >>> handover.hand_over("engine-1", now=11.0) is None
        True
        """
        if not self._may_grant(key, now):
            return None
        del self._grace_until[key]
        return self._renewed_at.pop(key)

    def take_over(self, key: str, *, renewed_at: float, now: float) -> bool:
        """Start to grant a key unless its ledger is too old; return whether the key is granted.

        ``renewed_at`` is when a holder last renewed the key with the previous owner. One expiry
        time later a third keeper may have granted the key.

        >>> handover = Handover(expiry=4.0)
        >>> handover.take_over("engine-1", renewed_at=10.0, now=14.5)
        False
        >>> handover.take_over("engine-1", renewed_at=11.0, now=14.5)
        True
        """
        if now - renewed_at > self._expiry:
            return False
        self._renewed_at[key] = max(renewed_at, self._renewed_at.get(key, renewed_at))
        self._grace_until[key] = now
        return True

    def _may_grant(self, key: str, now: float) -> bool:
        return self.is_owner(key, now=now) and self.grace_remaining(key, now=now) <= 0
