"""Interface for membership: which keepers are live.

The platform's VM list, which lags, names the candidates, and heartbeats decide which of them are
live. Two keepers may disagree for a short time, so nothing that requires mutual exclusion may
rely on this.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

from baobabpulley.model.upstreams import Vm


class Membership(ABC):
    """Live keepers as seen by this process, identified by the ids of their entry VMs."""

    @property
    @abstractmethod
    def settled(self) -> bool:
        """Whether the first contact with the other keepers of this failure domain is complete.

        Each of them has sent a message or has failed to reply.
        """

    @abstractmethod
    def live_keepers(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the live entry VMs of a failure domain, sorted by id.

        This VM is included in its own failure domain until it shuts down. For another failure
        domain the result is what its delegates last reported, or the live rows of the VM list
        before their first report.
        """

    @abstractmethod
    def is_live(self, id: str) -> bool:
        """Whether the keeper of an entry VM is live."""

    @abstractmethod
    def delegates(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the keepers, at most two, that exchange heartbeats with other failure domains."""

    @abstractmethod
    def applied_revision(self, id: str) -> int:
        """Return the settings revision that a keeper last reported as applied, 0 if none."""
