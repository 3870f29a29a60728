"""When a keeper that has become the home of a key may grant.

What the home before it granted is known to that home and to the holders alone. So a new home
waits for one expiry time, by which each holder has renewed here or its grant has lapsed, unless
the home before it gives its book away. Who gives a book grants nothing more of that key until it
has waited itself, so that a book has one owner however messages are lost, late or repeated.
"""

from __future__ import annotations

from typing import final


@final
class Handover:
    """Which keys this keeper is taken for the home of. Times are model seconds."""

    __slots__ = ("_expiry", "_heard", "_until")

    def __init__(self, *, expiry: float) -> None:
        self._expiry = expiry
        self._heard: dict[str, float] = {}
        self._until: dict[str, float] = {}

    def renew(self, key: str, *, now: float) -> None:
        """Note that a holder takes this keeper for the key's home."""
        if not self.is_owner(key, now=now):
            self._until[key] = now + self._expiry
        self._heard[key] = now

    def is_owner(self, key: str, *, now: float) -> bool:
        """Whether any holder has taken this keeper for the key's home of late."""
        heard = self._heard.get(key)
        return heard is not None and now - heard <= self._expiry

    def grace_remaining(self, key: str, *, now: float) -> float:
        """Return the seconds until this keeper may grant, 0 once it may.

        >>> handover = Handover(expiry=4.0)
        >>> handover.renew("engine-1", now=10.0)
        >>> handover.grace_remaining("engine-1", now=11.0)
        3.0
        """
        return max(0.0, self._until.get(key, now + self._expiry) - now)

    def grantable_keys(self, *, now: float) -> tuple[str, ...]:
        """Return the keys that this keeper may grant now."""
        return tuple(key for key in self._heard if self._grants(key, now))

    def hand_over(self, key: str, *, now: float) -> float | None:
        """Stop granting a key; return when it was last heard, or ``None`` if there is no book.

        >>> handover = Handover(expiry=4.0)
        >>> handover.renew("engine-1", now=10.0)
        >>> handover.hand_over("engine-1", now=11.0) is None
        True
        """
        if not self._grants(key, now):
            return None
        del self._until[key]
        return self._heard.pop(key)

    def take_over(self, key: str, *, heard: float, now: float) -> bool:
        """Grant a key from now on if its book is not too old; return whether it is taken.

        ``heard`` is when the giver last heard of it. One expiry time later a third keeper may
        have granted the key.

        >>> handover = Handover(expiry=4.0)
        >>> handover.take_over("engine-1", heard=10.0, now=14.5)
        False
        >>> handover.take_over("engine-1", heard=11.0, now=14.5)
        True
        """
        if now - heard > self._expiry:
            return False
        self._heard[key] = max(heard, self._heard.get(key, heard))
        self._until[key] = now
        return True

    def _grants(self, key: str, now: float) -> bool:
        return self.is_owner(key, now=now) and self.grace_remaining(key, now=now) <= 0
