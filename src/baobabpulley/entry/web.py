"""Base classes of the entry's HTTP handlers, and the registry of their routes."""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import TypeVar

import msgspec
from loguru import logger
from tornado.web import RequestHandler

from baobabpulley.entry.context import EntryContext
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BadToken
from baobabpulley.errors import BaobabError
from baobabpulley.errors import BodyTooLarge
from baobabpulley.errors import BodyTooSlow
from baobabpulley.errors import MethodNotAllowed
from baobabpulley.errors import NotReady

REQUEST_ID_HEADER: Final = "X-Request-Id"
# Application setting: real seconds, a whole number, that a connection may be idle.
IDLE_SECONDS_SETTING: Final = "idle_seconds"
MAX_REQUEST_ID_CHARS: Final = 128
DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0

_RETRYABLE_STATUSES: Final = (429, 503)

H = TypeVar("H", bound=type[RequestHandler])

_ROUTES: list[tuple[str, type[RequestHandler]]] = []


def route(pattern: str) -> Callable[[H], H]:
    """Register the decorated handler class for a path pattern."""

    def register(handler: H) -> H:
        _ROUTES.append((pattern, handler))
        return handler

    return register


def routes(context: EntryContext) -> list[Any]:
    """Return all registered routes, with the context for their handlers."""
    return [(pattern, handler, {"context": context}) for pattern, handler in _ROUTES]


def format_retry_after(seconds: float) -> str:
    """Return the value of a Retry-After header: whole seconds, never less than ``seconds``.

    >>> format_retry_after(2.4), format_retry_after(2.0), format_retry_after(0.1)
    ('3', '2', '1')
    """
    return str(max(1, math.ceil(seconds)))


class EntryHandler(RequestHandler):
    """Send typed errors as JSON, and give each request an id."""

    _request_id = ""

    def initialize(self, context: EntryContext) -> None:
        self._context = context
        self._log_fields: dict[str, str] = {}
        client_request_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        usable = (
            client_request_id.isascii()
            and client_request_id.isprintable()
            and 0 < len(client_request_id) <= MAX_REQUEST_ID_CHARS
        )
        self._request_id = client_request_id if usable else secrets.token_hex(8)
        self.set_default_headers()
        if context.lifecycle.draining:
            # Makes the caller open a new connection, to another entry, for its next request.
            self.set_header("Connection", "close")

    @property
    def context(self) -> EntryContext:
        """The components of the entry."""
        return self._context

    @property
    def request_id(self) -> str:
        """The request id that the caller sent, or a generated one."""
        return self._request_id

    def check_accepting(self) -> None:
        """Raise `NotReady` if the entry is shutting down and already refuses new requests."""
        if self._context.lifecycle.refusing:
            raise NotReady("this entry is shutting down", retry_after=1.0)

    def authenticate(self) -> str:
        """Return the client account (team) of the bearer token."""
        return self._context.view.settings_state.team_of_token(self.bearer_token())

    def bearer_token(self) -> str:
        """Return the request's bearer token; raise `NotReady` before settings have arrived."""
        if not self._context.view.ready:
            raise NotReady("no settings have arrived at this entry yet")
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer" or not token:
            raise BadToken("the request has no bearer token")
        return token

    @property
    def log_fields(self) -> dict[str, str]:
        """Fields of this request's log line, such as its team and upstream."""
        return self._log_fields

    def set_default_headers(self) -> None:
        self.clear_header("Server")
        if self._request_id:
            self.set_header(REQUEST_ID_HEADER, self._request_id)
            # A request sent while the entry closes its idle connection would be lost.
            self.set_header("Keep-Alive", f"timeout={self.settings[IDLE_SECONDS_SETTING]}")

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None))[1]
        if isinstance(error, BaobabError):
            self.finish_with_error(error)
        elif status_code == 405:
            self.finish_with_error(
                MethodNotAllowed(f"{self.request.method} is not allowed on this path")
            )
        elif 400 <= status_code < 500:
            self.finish_with_error(BadRequest(self._reason))
        else:
            self.finish_with_error(BaobabError("internal error of the entry"))

    def finish_with_error(self, error: BaobabError) -> None:
        """Send a typed error as the response."""
        if error.ran is False:
            self._context.metrics.refusals.labels(code=error.code).inc()
        self.set_status(error.status)
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self.set_header("Content-Type", "application/json")
        retry_after = error.retry_after
        if retry_after is None and error.status in _RETRYABLE_STATUSES:
            retry_after = DEFAULT_RETRY_AFTER_SECONDS
        if retry_after is not None:
            self.set_header("Retry-After", format_retry_after(retry_after))
        self.finish(msgspec.json.encode(error.document()))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, BaobabError):
            logger.opt(exception=value).error("request {} failed", self._request_id)


class StreamedBodyHandler(EntryHandler):
    """Collect a request body within limits of size and time; refuse it once one is exceeded.

    Subclasses are decorated with `tornado.web.stream_request_body`.
    """

    def expect_body(self, *, max_bytes: int, timeout: float) -> None:
        """Set the limits; ``timeout`` is in model seconds."""
        self._chunks: list[bytes] = []
        self._size = 0
        self._max_bytes = max_bytes
        self._body_timer = self.context.timers.after(timeout, lambda: self._refuse_slow(timeout))
        declared = self.request.headers.get("Content-Length", "0")
        if not declared.isdecimal():
            raise BadRequest("Content-Length is not a number")
        if int(declared) > max_bytes:
            raise self._too_large()

    @property
    def whole_body(self) -> bytes:
        """The body, after it has arrived completely."""
        self._body_timer.cancel()
        return b"".join(self._chunks)

    def data_received(self, chunk: bytes) -> None:
        # Raising here would close the connection without a response.
        if self._finished:
            return
        self._size += len(chunk)
        if self._size > self._max_bytes:
            self.finish_with_error(self._too_large())
            return
        self._chunks.append(chunk)

    def on_finish(self) -> None:
        if hasattr(self, "_body_timer"):
            self._body_timer.cancel()
            self._chunks.clear()

    def on_connection_close(self) -> None:
        self.on_finish()

    def _too_large(self) -> BodyTooLarge:
        return BodyTooLarge(f"the body is longer than {self._max_bytes} bytes")

    def _refuse_slow(self, timeout: float) -> None:
        if not self._finished:
            self.finish_with_error(BodyTooSlow(f"the body did not arrive within {timeout:g} s"))
