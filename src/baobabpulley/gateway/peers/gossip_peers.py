"""What a gateway knows of the others from their gossip."""

from __future__ import annotations

from typing import final

from baobabpulley.gateway.peers.gossip_messages import GossipMessage


@final
class GossipPeer:
    """State of another gateway as of its last message.

    ``received_at`` is the time at which the message was received, in monotonic seconds. ``known``
    is the state before that message.
    """

    __slots__ = (
        "_ended",
        "control",
        "cut_off",
        "failure_domain",
        "incarnation",
        "node",
        "received_at",
        "revision",
        "sequence",
        "store_reachable",
    )

    def __init__(
        self, message: GossipMessage, *, received_at: float, known: GossipPeer | None = None
    ) -> None:
        self.node = message.node
        self.control = message.control
        self.cut_off = message.cut_off
        self.failure_domain = message.failure_domain
        self.incarnation = message.incarnation
        self.sequence = message.sequence
        self.revision = message.ordered_revision
        self.store_reachable = message.store_reachable
        self.received_at = received_at
        # The incarnation before this one: its messages may still be on their way through relays.
        self._ended: str | None = None
        if known is not None:
            is_same = known.incarnation == message.incarnation
            self._ended = known._ended if is_same else known.incarnation

    def supersedes(self, message: GossipMessage) -> bool:
        """Whether a message is not newer than this state, or of a process that ended before it."""
        if message.incarnation == self.incarnation:
            return message.sequence <= self.sequence
        return message.incarnation == self._ended
