"""The HTTP server for callers; typed errors replace Tornado's bare or missing responses."""

from __future__ import annotations

import contextlib
import math
from asyncio import Future
from typing import Any
from typing import Final
from typing import final

import msgspec
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.iostream import UnsatisfiableReadError
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import split_address
from baobabpulley.adapters.streams import NoDelayStream
from baobabpulley.entry.callers import CallersSection
from baobabpulley.entry.context import EntryContext
from baobabpulley.entry.web import IDLE_SECONDS_SETTING
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import routes
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import HeaderTooLarge
from baobabpulley.errors import NotFound

# Handlers refuse oversized bodies; the rest of a refused body is discarded up to this size.
MAX_DISCARDED_BODY_BYTES: Final = 1 << 30
# The handlers' own body timeout must expire first, so that callers get a typed error.
BODY_TIMEOUT_FACTOR: Final = 2.0

_BARE_BAD_REQUEST: Final = b"HTTP/1.1 400 Bad Request\r\n\r\n"


@final
class CallerStream(NoDelayStream):
    """A connection that responds to malformed HTTP and oversized headers with typed errors."""

    def write(self, data: bytes | memoryview) -> Future[None]:
        if data == _BARE_BAD_REQUEST:
            data = raw_response(BadRequest("the request is not well-formed HTTP/1.1"))
        return super().write(data)

    def close(self, exc_info: Any = False) -> None:
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            error = HeaderTooLarge("the request headers exceed the size limit of this entry")
            with contextlib.suppress(OSError):
                self.socket.send(raw_response(error))
        super().close(exc_info)


@final
class CallerServer(HTTPServer):
    """An HTTP server over `CallerStream` connections."""

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        # The given stream has no callbacks yet, so its socket can move to another stream.
        typed_stream = CallerStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        super().handle_stream(typed_stream, address)


class UnknownPathHandler(EntryHandler):
    """Respond to paths that no route matches."""

    def prepare(self) -> None:
        raise NotFound(f"no such path: {self.request.path[:128]}")


def start_listener(context: EntryContext) -> HTTPServer:
    """Start an HTTP server with all registered routes; the event loop must be running."""
    callers = context.settings.get(CallersSection)
    idle = context.timers.to_real_seconds(callers.header_timeout)
    application = Application(
        routes(context),
        default_handler_class=UnknownPathHandler,
        default_handler_args={"context": context},
        log_function=log_request,
        **{IDLE_SECONDS_SETTING: math.floor(idle)},
    )
    server = CallerServer(
        application,
        max_body_size=MAX_DISCARDED_BODY_BYTES,
        max_header_size=callers.max_header_bytes,
        body_timeout=context.timers.to_real_seconds(callers.body_timeout * BODY_TIMEOUT_FACTOR),
        idle_connection_timeout=idle,
    )
    host, port = split_address(context.node.http)
    server.listen(port, host)
    return server


def log_request(handler: RequestHandler) -> None:
    """Log a finished request, without its body and its token."""
    if not isinstance(handler, EntryHandler):
        return
    request = handler.request
    fields = {
        "request_id": handler.request_id,
        **handler.log_fields,
        "status": handler.get_status(),
        "seconds": round(request.request_time(), 4),
    }
    logger.bind(**fields).info("{} {}", request.method, request.path)


def raw_response(error: BaobabError) -> bytes:
    """Return a complete HTTP response for a request that reached no handler."""
    body = msgspec.json.encode(error.document())
    head = (
        f"HTTP/1.1 {error.status} Refused\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
