"""Common parts of the entry's HTTP handlers, and the registry that fills the routes."""

from __future__ import annotations

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
# Name of the application's setting with the whole real seconds that a connection may be idle.
IDLE_SECONDS_SETTING: Final = "idle_seconds"
MAX_REQUEST_ID_CHARS: Final = 128
DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0

_RETRIED_STATUSES: Final = (429, 503)

H = TypeVar("H", bound=type[RequestHandler])

_ROUTES: list[tuple[str, type[RequestHandler]]] = []


def route(pattern: str) -> Callable[[H], H]:
    """Register a handler for a path pattern."""

    def add(handler: H) -> H:
        _ROUTES.append((pattern, handler))
        return handler

    return add


def routes(context: EntryContext) -> list[Any]:
    """Return all registered routes for one entry."""
    return [(pattern, handler, {"context": context}) for pattern, handler in _ROUTES]


class EntryHandler(RequestHandler):
    """Answer typed errors as JSON and give each request an id."""

    _request_id = ""

    def initialize(self, context: EntryContext) -> None:
        self._context = context
        self._log_fields: dict[str, str] = {}
        given = self.request.headers.get(REQUEST_ID_HEADER, "")
        usable = given.isascii() and given.isprintable() and 0 < len(given) <= MAX_REQUEST_ID_CHARS
        self._request_id = given if usable else secrets.token_hex(8)
        self.set_default_headers()
        if context.lifecycle.draining:
            # A caller's next request then opens a connection to an entry that stays.
            self.set_header("Connection", "close")

    @property
    def context(self) -> EntryContext:
        """The entry's parts."""
        return self._context

    @property
    def request_id(self) -> str:
        """The caller's own request id, or one made here."""
        return self._request_id

    def check_accepting(self) -> None:
        """Raise `NotReady` once the balancer knows that this entry is shutting down."""
        if self._context.lifecycle.refusing:
            raise NotReady("this entry is shutting down", retry_after=1.0)

    def authenticate(self) -> str:
        """Return the client account of the bearer token."""
        return self._context.view.settings_state.team_of_token(self.bearer_token())

    def bearer_token(self) -> str:
        """Return the request's bearer token, once settings are there to check it."""
        if not self._context.view.ready:
            raise NotReady("no settings have arrived at this entry yet")
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer" or not token:
            raise BadToken("the request carries no bearer token")
        return token

    @property
    def log_fields(self) -> dict[str, str]:
        """What the line of this request in the log says of team and upstream."""
        return self._log_fields

    def set_default_headers(self) -> None:
        self.clear_header("Server")
        if self._request_id:
            self.set_header(REQUEST_ID_HEADER, self._request_id)
            # A request that crosses the close of an idle connection would be lost.
            self.set_header("Keep-Alive", f"timeout={self.settings[IDLE_SECONDS_SETTING]}")

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None))[1]
        if isinstance(error, BaobabError):
            self.finish_with_error(error)
        elif status_code == 405:
            self.finish_with_error(MethodNotAllowed(f"{self.request.method} is not taken here"))
        elif 400 <= status_code < 500:
            self.finish_with_error(BadRequest(self._reason))
        else:
            self.finish_with_error(BaobabError("the entry failed"))

    def finish_with_error(self, error: BaobabError) -> None:
        """Answer with a typed error."""
        if error.ran is False:
            self._context.metrics.refusals.labels(code=error.code).inc()
        self.set_status(error.status)
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self.set_header("Content-Type", "application/json")
        retry_after = error.retry_after
        if retry_after is None and error.status in _RETRIED_STATUSES:
            retry_after = DEFAULT_RETRY_AFTER_SECONDS
        if retry_after is not None:
            self.set_header("Retry-After", str(max(1, round(retry_after))))
        self.finish(msgspec.json.encode(error.document()))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, BaobabError):
            logger.opt(exception=value).error("request {} failed", self._request_id)


class StreamedBodyHandler(EntryHandler):
    """Collect a body within a bound of size and time; past it refuse at once.

    Subclasses are decorated with `tornado.web.stream_request_body`.
    """

    def expect_body(self, *, max_bytes: int, timeout: float) -> None:
        """Set the bounds; ``timeout`` is in model seconds."""
        self._parts: list[bytes] = []
        self._size = 0
        self._max_bytes = max_bytes
        self._slow = self.context.timers.after(timeout, lambda: self._refuse_slow(timeout))
        declared = self.request.headers.get("Content-Length", "0")
        if not declared.isdecimal():
            raise BadRequest("Content-Length is not a number")
        if int(declared) > max_bytes:
            raise self._too_large()

    @property
    def whole_body(self) -> bytes:
        """The body, once it has arrived."""
        self._slow.cancel()
        return b"".join(self._parts)

    def data_received(self, chunk: bytes) -> None:
        # Raising here would drop the connection without an answer.
        if self._finished:
            return
        self._size += len(chunk)
        if self._size > self._max_bytes:
            self.finish_with_error(self._too_large())
            return
        self._parts.append(chunk)

    def on_finish(self) -> None:
        if hasattr(self, "_slow"):
            self._slow.cancel()
            self._parts.clear()

    def on_connection_close(self) -> None:
        self.on_finish()

    def _too_large(self) -> BodyTooLarge:
        return BodyTooLarge(f"the body is longer than {self._max_bytes} bytes")

    def _refuse_slow(self, timeout: float) -> None:
        if not self._finished:
            self.finish_with_error(BodyTooSlow(f"the body did not arrive within {timeout:g} s"))
