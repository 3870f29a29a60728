"""Revisions of the store, in an order that holds also after it came back from a copy.

A store that comes back from a copy gives out revision numbers again, in a new *era*. An ordered
revision holds both in one integer, the era above the number, so that comparing two of them compares
the eras first. In era 0, it equals the number.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from baobabpulley.model.documents import StoredEntry

_NUMBER_BITS: Final = 42
_NUMBER_MASK: Final = (1 << _NUMBER_BITS) - 1


def ordered_revision(number: int, *, era: int) -> int:
    """Return the ordered revision of a store's revision number in an era.

    >>> ordered_revision(7, era=0), ordered_revision(7, era=1) > ordered_revision(90, era=0)
    (7, True)
    """
    return (era << _NUMBER_BITS) | min(number, _NUMBER_MASK)


def era_of(revision: int) -> int:
    """Return the era of an ordered revision.

    >>> era_of(ordered_revision(7, era=3))
    3
    """
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the revision number that the store gave out.

    >>> number_of(ordered_revision(7, era=3))
    7
    """
    return revision & _NUMBER_MASK


def carried_over(era: int) -> int:
    """Return the revision, in an era, of what is known only from an earlier one.

    >>> carried_over(2) < ordered_revision(1, era=2)
    True
    """
    return ordered_revision(0, era=era)


def is_carried_over(revision: int) -> bool:
    """Whether a revision is that of what is known only from an earlier era.

    >>> is_carried_over(carried_over(2)), is_carried_over(ordered_revision(1, era=2))
    (True, False)
    """
    return number_of(revision) == 0


def with_numbers(entries: Iterable[StoredEntry]) -> tuple[StoredEntry, ...]:
    """Return entries with the store's revision numbers in place of ordered revisions."""
    return tuple(
        msgspec.structs.replace(entry, mod_revision=number_of(entry.mod_revision))
        for entry in entries
    )


def with_ordered_revisions(entries: Iterable[StoredEntry], *, era: int) -> tuple[StoredEntry, ...]:
    """Return entries with ordered revisions in place of the numbers of an era."""
    return tuple(
        msgspec.structs.replace(entry, mod_revision=ordered_revision(entry.mod_revision, era=era))
        for entry in entries
    )
