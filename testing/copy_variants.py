"""Variants of the play of a store that comes back from a copy, see `copy_play`."""

from __future__ import annotations

from typing import Final

import msgspec


class Variant(msgspec.Struct, frozen=True):
    """What happens in a play.

    The store loses ``heartbeats`` and a version in each of ``returns`` returns. ``pathless`` has no
    path to the store once it has read it. ``cuts_paths`` cuts the path of one gateway around each
    change. ``starts_late`` starts a gateway after the copy was taken, and ``restarts`` stops one
    just before the return and starts it again. ``steps`` are the seconds before the return, the
    next version, the leaving of servers, and the end.
    """

    heartbeats: int = 80
    returns: int = 1
    states_era: bool = True
    pathless: str = ""
    cuts_paths: bool = False
    starts_late: bool = False
    restarts: bool = False
    gateways: int = 3
    steps: tuple[float, float, float, float] = (3.0, 4.0, 4.0, 4.0)


VARIANTS: Final = {
    "plain": Variant(),
    "pathless": Variant(pathless="front-2"),
    "no-era": Variant(states_era=False),
    "few-writes": Variant(heartbeats=4),
    "two-returns": Variant(returns=2),
    "late-start": Variant(starts_late=True),
    "restart": Variant(restarts=True),
    "source-change": Variant(cuts_paths=True, gateways=5),
    "no-return": Variant(returns=0),
    "no-return-pathless": Variant(returns=0, pathless="front-2"),
}
