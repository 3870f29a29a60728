"""Interface for messages between the processes of this project."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import msgspec

from baobabpulley.registry import Registry

MessageT = TypeVar("MessageT", bound=type[msgspec.Struct])
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

Handler = Callable[[msgspec.Struct, str], Awaitable[msgspec.Struct]]
Listener = Callable[[msgspec.Struct, str], None]

message_kinds: Registry[type[msgspec.Struct]] = Registry("message kind")


def peer_message(name: str) -> Callable[[MessageT], MessageT]:
    """Return a decorator that registers a message type under its name on the wire."""
    return message_kinds.register(name)  # type: ignore[return-value]


class Peers(ABC):
    """Request/reply and publish/subscribe between processes. Addresses are ``ip:port``.

    Messages are authenticated and limited in size; replayed or malformed ones are dropped.
    """

    @abstractmethod
    async def request(
        self, address: str, request: msgspec.Struct, *, reply_type: type[ReplyT], timeout: float
    ) -> ReplyT:
        """Send a request and return the reply.

        ``timeout`` is in model seconds. Raises `PeerUnavailable` if no reply arrives in time, or
        the peer's own typed error if the peer replied with one.
        """

    @abstractmethod
    def register_handler(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Handle requests of one type; the handler receives the message and the sender's id."""

    @abstractmethod
    def publish(self, message: msgspec.Struct) -> None:
        """Send a message to all subscribers; it may be lost."""

    @abstractmethod
    def subscribe(self, address: str, listener: Listener) -> None:
        """Call ``listener`` with each message that the process at ``address`` publishes."""

    @abstractmethod
    def unsubscribe(self, address: str, listener: Listener) -> None:
        """Remove a listener; does nothing if it isn't subscribed."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets and cancel all tasks."""
