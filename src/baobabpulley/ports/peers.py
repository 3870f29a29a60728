"""Messages between our own processes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import msgspec

from baobabpulley.registry import Registry

M = TypeVar("M", bound=type[msgspec.Struct])
ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

Handler = Callable[[msgspec.Struct, str], Awaitable[msgspec.Struct]]
Listener = Callable[[msgspec.Struct, str], None]

message_kinds: Registry[type[msgspec.Struct]] = Registry("message kind")


def peer_message(name: str) -> Callable[[M], M]:
    """Register a message type under the name that it has on the wire."""
    return message_kinds.register(name)  # type: ignore[return-value]


class Peers(ABC):
    """Ask other processes, answer them, publish to them. Addresses are ``ip:port``.

    Messages are authenticated, bounded in size and dropped when replayed or malformed.
    """

    @abstractmethod
    async def request(
        self, address: str, request: msgspec.Struct, *, reply_type: type[ReplyT], timeout: float
    ) -> ReplyT:
        """Send a question and return its answer.

        ``timeout`` is in model seconds. Raises `PeerUnavailable` without an answer in time, and
        the peer's own typed error if it sent one.
        """

    @abstractmethod
    def register_handler(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Answer questions of one type; the handler gets the message and its sender's id."""

    @abstractmethod
    def publish(self, message: msgspec.Struct) -> None:
        """Send to all subscribers; may be lost."""

    @abstractmethod
    def subscribe(self, address: str, listener: Listener) -> None:
        """Listen to what the process at ``address`` publishes."""

    @abstractmethod
    def unsubscribe(self, address: str, listener: Listener) -> None:
        """Stop listening; safe to call without a subscription."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets and end all tasks."""
