"""A bare Tornado server that forwards streams: a lower bound on an entry's CPU time.

It has no admission, routing or validation and shares no HTTP code with the entry beyond Tornado.
``baobabpulley bench path`` measures its CPU time at the same time as the entry's.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable
from typing import Final
from typing import final

from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.web import Application
from tornado.web import RequestHandler

from baobabpulley.adapters.addresses import connect
from baobabpulley.adapters.addresses import split_address
from baobabpulley.shutdown import stop_event

CONNECT_TIMEOUT_SECONDS: Final = 5.0

_KEEP_ALIVE: Final = HTTP1ConnectionParameters(no_keep_alive=False)


@final
class ForwardingProxy:
    """Forward requests to engines in round-robin order, over a pool of idle connections."""

    __slots__ = ("_engine_cycle", "_idle")

    def __init__(self, engines: tuple[str, ...]) -> None:
        self._idle: dict[str, list[IOStream]] = {engine: [] for engine in engines}
        self._engine_cycle = itertools.cycle(engines)

    async def forward(self, handler: RequestHandler) -> None:
        """Forward a request to the next engine and stream the response back."""
        engine = next(self._engine_cycle)
        idle = self._idle[engine]
        stream = idle.pop() if idle else await connect(engine, timeout=CONNECT_TIMEOUT_SECONDS)
        connection = HTTP1Connection(stream, True, _KEEP_ALIVE)
        body = handler.request.body
        headers = HTTPHeaders({"Host": engine, "Content-Length": str(len(body))})
        start_line = RequestStartLine("POST", handler.request.path, "HTTP/1.1")
        connection.write_headers(start_line, headers, body)
        connection.finish()
        await connection.read_response(_ResponseRelay(handler))
        idle.append(connection.detach())


class _ResponseRelay(HTTPMessageDelegate):
    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self._handler.set_status(start_line.code)
        self._handler.set_header("Content-Type", headers.get("Content-Type", ""))

    def data_received(self, chunk: bytes) -> Awaitable[None]:
        self._handler.write(chunk)
        return self._handler.flush()


class _ProxyHandler(RequestHandler):
    def initialize(self, hop: ForwardingProxy) -> None:
        self._hop = hop

    def get(self) -> None:
        self.finish({})

    async def post(self) -> None:
        await self._hop.forward(self)


def run_hop(*, address: str, engines: tuple[str, ...]) -> None:
    """Serve on ``address`` until SIGTERM or SIGINT."""

    async def serve() -> None:
        stop = stop_event()
        host, port = split_address(address)
        routes = [(r"/.*", _ProxyHandler, {"hop": ForwardingProxy(engines)})]
        Application(routes, log_function=lambda _: None).listen(port, host)
        await stop.wait()

    asyncio.run(serve())
