"""Shared parts of the stand-ins' HTTP servers: faults, JSON, refusals and streams."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any
from typing import Final

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.standins.faults import FaultOrder
from baobabpulley.standins.faults import Faults
from baobabpulley.standins.faults import Refusal
from baobabpulley.timers import TimerService

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
FAULT_APPLY_DELAY_SECONDS: Final = 0.01
JOURNAL_CAPACITY: Final = 200_000

Operation = Callable[..., object]
Route = tuple[str, type[RequestHandler], dict[str, Any]]


class StandinHandler(RequestHandler):
    """Handle JSON requests, subject to the active faults unless ``subject_to_faults`` is false."""

    subject_to_faults = True

    def initialize(self, standin: Any) -> None:
        self._standin = standin
        self._disconnected = asyncio.Event()
        self.faults: Faults = standin.faults
        self.stream: IOStream = self.request.connection.stream  # type: ignore[union-attr]

    async def prepare(self) -> None:
        # PUT is exempt from faults: tests use it to set up the state of a stand-in.
        if self.subject_to_faults and self.request.method != "PUT":
            await self.faults.wait_while_paused()
            await self.faults.apply_delay("delay")
            await self._wait_if_silenced()
            if self.faults.down or self.faults.consume("lose_request"):
                self.drop()

    def json(self, kind: Any = Any) -> Any:
        """Return the decoded request body."""
        return msgspec.json.decode(self.request.body, type=kind)

    async def respond(
        self, document: object, *, status: int = 200, can_lose_response: bool = False
    ) -> None:
        """Send a complete response.

        The ``lose_answer`` fault applies if ``can_lose_response`` is set.
        """
        if can_lose_response and self.faults.consume("lose_answer"):
            self.drop()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        await self.send(msgspec.json.encode(document), last=True)

    async def send(self, data: bytes, *, last: bool = False) -> None:
        """Write and flush a piece of the response, unless the connection is silenced."""
        if self.subject_to_faults:
            if not self._headers_written:
                await self.faults.apply_delay("delay_answer")
            await self.faults.wait_while_paused()
            await self._wait_if_silenced()
        self.write(data)
        await (self.finish() if last else self.flush())

    def drop(self) -> None:
        """Close the connection without a response."""
        self._finished = True
        self.stream.close()

    def on_connection_close(self) -> None:
        self._disconnected.set()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None))[1]
        code = f"http_{status_code}"
        if isinstance(error, Refusal):
            code, status_code = error.code, error.status
            if error.retry_after is not None:
                self.set_header("Retry-After", f"{error.retry_after:.3f}")
        elif isinstance(error, msgspec.DecodeError):
            code, status_code = "bad_request", 400
        self.set_status(status_code)
        ran = None if status_code == 500 else False
        self.finish({"error": {"code": code, "message": str(error), "ran": ran}})

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, Refusal | StreamClosedError | msgspec.DecodeError):
            super().log_exception(typ, value, tb)

    async def _wait_if_silenced(self) -> None:
        if self.faults.is_silenced(self.stream):
            await self._disconnected.wait()
            self._finished = True
            raise StreamClosedError


class CallHandler(StandinHandler):
    """Respond to a call with the result of ``run`` for the body and the path's groups.

    The ``lose_answer`` fault applies if ``can_lose_response`` is set.
    """

    def initialize(
        self,
        standin: Any,
        run: Operation,
        can_lose_response: bool = False,
        subject_to_faults: bool = True,
    ) -> None:
        super().initialize(standin)
        self.subject_to_faults = subject_to_faults
        self._run = run
        self._can_lose_response = can_lose_response

    async def post(self, *groups: str) -> None:
        body = self.json() if self.request.body else {}
        await self.respond(
            self._run(self._standin, body, *groups), can_lose_response=self._can_lose_response
        )

    get = put = post


class StandinServer(HTTPServer):
    """A server that registers each new connection with the faults."""

    faults: Faults

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        self.faults.connections.add(stream)
        super().handle_stream(stream, address)  # type: ignore[arg-type]


def call_route(pattern: str, run: Operation, subject_to_faults: bool = True) -> Route:
    """Return the route of a call that `CallHandler` handles."""
    return pattern, CallHandler, {"run": run, "subject_to_faults": subject_to_faults}


class Standin:
    """A stand-in server with a journal and injectable faults."""

    __slots__ = ("_server", "address", "faults", "journal", "timers")

    def __init__(
        self, *, address: str, timers: TimerService, delays_response: bool = False
    ) -> None:
        self.address = address
        self.timers = timers
        self.faults = Faults(timers, delays_response=delays_response)
        self.journal: deque[dict[str, Any]] = deque(maxlen=JOURNAL_CAPACITY)

    def serve(self, *routes: Route) -> None:
        """Start listening with the given routes and ``/faults``; the event loop must run."""
        all_routes: Any = [
            (pattern, handler, {"standin": self, **options})
            for pattern, handler, options in [*routes, call_route(r"/faults", _apply_fault, False)]
        ]
        self._server = StandinServer(Application(all_routes), max_body_size=MAX_BODY_BYTES)
        self._server.faults = self.faults
        host, port = split_address(self.address)
        self._server.listen(port, host)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop()
        await self._server.close_all_connections()


async def wait_for(event: asyncio.Event, seconds: float, *, timers: TimerService) -> bool:
    """Wait for an event at most ``seconds`` model seconds; return whether it was set."""
    try:
        async with timers.timeout(seconds):
            return await event.wait()
    except TimeoutError:
        return False


def _apply_fault(standin: Standin, body: object) -> dict[str, str]:
    order = msgspec.convert(body, FaultOrder)
    # Applied after the response is sent, so that the test learns that the order was accepted.
    asyncio.get_running_loop().call_later(FAULT_APPLY_DELAY_SECONDS, standin.faults.apply, order)
    return {}
