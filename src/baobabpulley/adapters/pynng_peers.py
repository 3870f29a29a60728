"""Messages between a fleet's processes over pynng: request/reply and publish/subscribe sockets.

nng devices are not used, and peers are addressed directly, without discovery.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Awaitable
from typing import Final
from typing import TypeVar
from typing import final

import msgspec
import pynng
from loguru import logger

from baobabpulley.adapters.envelope import BROADCAST
from baobabpulley.adapters.envelope import OpenedMessage
from baobabpulley.adapters.envelope import kind_of
from baobabpulley.adapters.envelope import make_sealer
from baobabpulley.adapters.traffic import Traffic
from baobabpulley.errors import BaobabError
from baobabpulley.errors import MessageRejected
from baobabpulley.errors import PeerUnavailable
from baobabpulley.errors import errors_by_code
from baobabpulley.ports.peers import Handler
from baobabpulley.ports.peers import Listener
from baobabpulley.ports.peers import Peers
from baobabpulley.ports.peers import peer_message
from baobabpulley.settings import PeersSection
from baobabpulley.timers import TimerService

REPLY_WORKERS: Final = 16
PUBLISH_PORT_OFFSET: Final = 1
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 500
SOCKET_CLOSE_DELAY_SECONDS: Final = 5.0

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


@peer_message("fault")
class ErrorReply(msgspec.Struct, frozen=True):
    """A typed error that a peer replies with."""

    code: str
    message: str
    remedy: str
    retry_after: float | None = None


@final
class _Subscription:
    """The socket subscribed to one publisher, and the listeners for its messages."""

    __slots__ = ("listeners", "socket")

    def __init__(self, *, socket: pynng.Sub0, listeners: tuple[Listener, ...]) -> None:
        self.socket = socket
        self.listeners = listeners


@final
class PynngPeers(Peers):
    """Request/reply and publish/subscribe sockets of one process.

    A process with an ``address`` serves requests there and publishes on the next port. One without
    an address only sends requests and subscribes. A request is accepted only if its receiver is
    ``address`` or one of ``also_reached_at``, other addresses of this process.
    """

    __slots__ = (
        "_address",
        "_closed",
        "_contexts",
        "_handlers",
        "_own_addresses",
        "_publisher",
        "_rejected",
        "_request_sockets",
        "_retired",
        "_sealer",
        "_sockets",
        "_subscriptions",
        "_tasks",
        "_timers",
        "traffic",
    )

    def __init__(
        self,
        *,
        node: str,
        section: PeersSection,
        timers: TimerService,
        address: str | None = None,
        also_reached_at: tuple[str, ...] = (),
    ) -> None:
        self._address = address
        self._own_addresses = frozenset(filter(None, (address, *also_reached_at)))
        self._timers = timers
        self._sealer = make_sealer(section, sender=node)
        self._handlers: dict[type[msgspec.Struct], Handler] = {}
        self._request_sockets: dict[str, pynng.Req0] = {}
        self._contexts: set[pynng.Context] = set()
        self._sockets: list[pynng.Socket] = []
        self._subscriptions: dict[str, _Subscription] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._publisher: pynng.Pub0 | None = None
        self._rejected = 0
        self._retired: set[pynng.Req0] = set()
        self._closed = False
        self.traffic: defaultdict[str, Traffic] = defaultdict(Traffic)

    @property
    def rejected(self) -> int:
        """Number of messages dropped because a check failed."""
        return self._rejected

    def start(self) -> None:
        """Open the listening sockets; must be called in a running event loop."""
        if self._address is None:
            return
        replier = pynng.Rep0(listen=f"tcp://{self._address}")
        self._publisher = pynng.Pub0(listen=f"tcp://{_publish_address(self._address)}")
        self._sockets += [replier, self._publisher]
        for _ in range(REPLY_WORKERS):
            self._spawn(self._serve_requests(self._open_context(replier)))

    async def request(
        self, address: str, request: msgspec.Struct, *, reply_type: type[ReplyT], timeout: float
    ) -> ReplyT:
        if self._closed:
            raise PeerUnavailable("this process is closing its connections")
        socket = self._request_sockets.get(address)
        if socket is None:
            socket = _dial(pynng.Req0(), address)
            self._request_sockets[address] = socket
        context = self._open_context(socket)
        traffic = self.traffic[kind_of(request)]
        try:
            async with self._timers.timeout(timeout):
                sealed = self._sealer.seal(request, kind=kind_of(request), receiver=address)
                traffic.sent += len(sealed.data)
                await _await_operation(context.asend(sealed.data))
                data = await _await_operation(context.arecv())
                traffic.received += len(data)
                traffic.messages += 1
            message = self._sealer.open(data, reply_to=sealed.nonce).message
        except (TimeoutError, pynng.NNGException, MessageRejected) as error:
            _raise_if_cancelled()
            # The connection may never recover, so the next request opens a new one.
            self._retire(address, socket)
            raise PeerUnavailable(f"the process at {address} did not reply: {error!r}") from error
        finally:
            self._close_context(context)
        if isinstance(message, ErrorReply):
            raise _error_from(message)
        if not isinstance(message, reply_type):
            raise PeerUnavailable(
                f"the process at {address} replied with {type(message).__name__}, "
                f"not {reply_type.__name__}"
            )
        return message

    def register_handler(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        self._handlers[kind] = handler

    def publish(self, message: msgspec.Struct) -> None:
        if self._publisher is None:
            return
        with contextlib.suppress(pynng.NNGException):
            kind = kind_of(message)
            sealed = self._sealer.seal(message, kind=kind, receiver=BROADCAST)
            self.traffic[kind].sent += len(sealed.data) * len(self._publisher.pipes)
            self._publisher.send(sealed.data, block=False)

    def subscribe(self, address: str, listener: Listener) -> None:
        # One socket for all listeners: a copy received on a second socket has a nonce that was
        # seen already and would be rejected as a replay.
        self.unsubscribe(address, listener)
        previous = self._subscriptions.get(address)
        others = previous.listeners if previous is not None else ()
        if previous is not None:
            previous.socket.close()
        socket = _dial(pynng.Sub0(topics=b""), _publish_address(address))
        subscription = _Subscription(socket=socket, listeners=(*others, listener))
        self._subscriptions[address] = subscription
        self._spawn(self._receive_published(subscription))

    def unsubscribe(self, address: str, listener: Listener) -> None:
        subscription = self._subscriptions.get(address)
        if subscription is None:
            return
        subscription.listeners = tuple(
            other for other in subscription.listeners if other != listener
        )
        if not subscription.listeners:
            del self._subscriptions[address]
            subscription.socket.close()

    def close(self) -> None:
        self._closed = True
        for task in tuple(self._tasks):
            task.cancel()
        # Contexts before their sockets: closing a context later raises, also in its finalizer.
        for context in tuple(self._contexts):
            self._close_context(context)
        # No socket may be left to the garbage collector: it may run in a thread of the nng library,
        # where closing a socket deadlocks.
        for socket in [*self._sockets, *self._request_sockets.values(), *self._retired]:
            socket.close()
        for subscription in self._subscriptions.values():
            subscription.socket.close()
        self._request_sockets.clear()
        self._retired.clear()
        self._subscriptions.clear()

    def _open_context(self, socket: pynng.Rep0 | pynng.Req0) -> pynng.Context:
        context = socket.new_context()
        self._contexts.add(context)
        return context

    def _close_context(self, context: pynng.Context) -> None:
        if context in self._contexts:
            self._contexts.discard(context)
            with contextlib.suppress(pynng.NNGException):
                context.close()

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _retire(self, address: str, socket: pynng.Req0) -> None:
        if self._request_sockets.get(address) is socket:
            del self._request_sockets[address]
            # Other requests may still wait on this socket, so it is closed later.
            self._retired.add(socket)
            asyncio.get_running_loop().call_later(
                SOCKET_CLOSE_DELAY_SECONDS, self._close_retired, socket
            )

    def _close_retired(self, socket: pynng.Req0) -> None:
        if socket in self._retired:
            self._retired.discard(socket)
            socket.close()

    async def _serve_requests(self, context: pynng.Context) -> None:
        while context in self._contexts:
            try:
                data = await _await_operation(context.arecv())
            except pynng.Closed:
                return
            except pynng.NNGException:
                _raise_if_cancelled()
                continue
            try:
                opened = self._sealer.open(data, receiver=self._own_addresses)
            except MessageRejected as error:
                self._reject(error)
                continue
            traffic = self.traffic[kind_of(opened.message)]
            traffic.received += len(data)
            traffic.messages += 1
            reply = await self._handle_request(opened)
            sealed = self._sealer.seal(reply, kind=kind_of(reply), reply_to=opened.nonce)
            traffic.sent += len(sealed.data)
            with contextlib.suppress(pynng.NNGException):
                await _await_operation(context.asend(sealed.data))

    def _reject(self, error: MessageRejected) -> None:
        self._rejected += 1
        logger.warning("dropped an invalid message: {}", error.message)

    async def _handle_request(self, opened: OpenedMessage) -> msgspec.Struct:
        handler = self._handlers.get(type(opened.message))
        if handler is None:
            return ErrorReply(code="not_found", message="no handler", remedy="Upgrade the peer.")
        try:
            return await handler(opened.message, opened.sender)
        except BaobabError as error:
            return ErrorReply(
                code=error.code,
                message=error.message,
                remedy=error.remedy,
                retry_after=error.retry_after,
            )
        except Exception:
            logger.exception("handler for {} failed", type(opened.message).__name__)
            return ErrorReply(
                code="internal",
                message="the peer failed to handle the request",
                remedy=BaobabError.default_remedy,
            )

    async def _receive_published(self, subscription: _Subscription) -> None:
        while True:
            try:
                data = await _await_operation(subscription.socket.arecv())
                opened = self._sealer.open(data, receiver=BROADCAST)
            except pynng.Closed:
                return
            except MessageRejected as error:
                self._reject(error)
                continue
            self.traffic[kind_of(opened.message)].received += len(data)
            for listener in subscription.listeners:
                listener(opened.message, opened.sender)


async def _await_operation(operation: Awaitable[ResultT]) -> ResultT:
    """Await a pynng operation; raise `CancelledError` if pynng swallowed a cancellation."""
    result = await operation
    _raise_if_cancelled()
    return result


def _raise_if_cancelled() -> None:
    # If an operation ends while its task is being cancelled, pynng returns the operation's result
    # or error and drops the cancellation.
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


SocketT = TypeVar("SocketT", bound=pynng.Socket)
ResultT = TypeVar("ResultT")


def _dial(socket: SocketT, address: str) -> SocketT:
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.dial(f"tcp://{address}", block=False)
    return socket


def _publish_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + PUBLISH_PORT_OFFSET}"


def _error_from(reply: ErrorReply) -> BaobabError:
    error_type = errors_by_code().get(reply.code, BaobabError)
    return error_type(reply.message, remedy=reply.remedy, retry_after=reply.retry_after)
