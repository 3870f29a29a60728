"""Which keepers are live at the moment.

The platform's lagging list names candidates and heartbeats decide. Two keepers may differ for a
moment, so nothing that must be exclusive rests on this.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from baobabpulley.model.upstreams import Vm


class Membership(ABC):
    """Live keepers as this process sees them; ids are those of entry VMs."""

    @property
    @abstractmethod
    def settled(self) -> bool:
        """Whether each other keeper of this failure domain was heard, or asked in vain."""

    @abstractmethod
    def live_keepers(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the live entry VMs of a failure domain, sorted by id.

        This VM is among those of its own until it shuts down. Of another failure domain only
        what its delegates last said is known; before they said anything, the list's live rows.
        """

    @abstractmethod
    def is_live(self, id: str) -> bool:
        """Whether the keeper of an entry VM is live."""

    @abstractmethod
    def delegates(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the two keepers, at most, that talk to other failure domains."""

    @abstractmethod
    def applied_revision(self, id: str) -> int:
        """Return the settings revision that a keeper last said it had applied, else 0."""
