"""Messages between entries and keepers that carry the state of the fleet."""

from __future__ import annotations

import msgspec

from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.limits import Limit
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Upstream
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.peers import peer_message


@peer_message("fleet.question")
class FleetQuestion(msgspec.Struct, frozen=True):
    """Ask for the fleet's state; settings only past ``settings_revision``."""

    settings_revision: int


class AgedLoad(msgspec.Struct, frozen=True):
    """A load report and the model seconds since the keeper got it."""

    report: LoadReport
    held: float


@peer_message("fleet.answer")
class FleetAnswer(msgspec.Struct, frozen=True):
    """What a keeper knows.

    The settings are complete from ``settings_since`` to ``settings_revision``. ``limits`` are
    those in force beyond the stored documents; limits never shrink.
    """

    settings_revision: int
    settings: tuple[StoredEntry, ...]
    limits: dict[str, Limit]
    upstreams: tuple[Upstream, ...]
    loads: tuple[AgedLoad, ...]
    entry_vms: tuple[Vm, ...]
    settings_since: int = 0


@peer_message("done")
class Done(msgspec.Struct, frozen=True):
    """The answer to a message that needs no other."""
