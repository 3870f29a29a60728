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
from baobabpulley.errors import BadToken
from baobabpulley.errors import BaobabError
from baobabpulley.errors import NotReady

REQUEST_ID_HEADER: Final = "X-Request-Id"
MAX_REQUEST_ID: Final = 128

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

    def initialize(self, context: EntryContext) -> None:
        self._context = context
        given = self.request.headers.get(REQUEST_ID_HEADER, "")
        usable = given.isprintable() and 0 < len(given) <= MAX_REQUEST_ID
        self._request_id = given if usable else secrets.token_hex(8)
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

    def authenticate(self) -> str:
        """Return the client account of the bearer token."""
        if not self._context.view.ready:
            raise NotReady("no settings have arrived at this entry yet")
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer" or not token:
            raise BadToken("the request carries no bearer token")
        return self._context.view.book.team_of_token(token)

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get("exc_info", (None, None))[1]
        if isinstance(error, BaobabError):
            self.refuse(error)
            return
        self.set_header("Content-Type", "application/json")
        document = {
            "error": {
                "code": f"http_{status_code}",
                "message": self._reason,
                "ran": False if status_code < 500 else None,
                "remedy": "Check method, path and headers against the README.",
            }
        }
        self.finish(msgspec.json.encode(document))

    def refuse(self, error: BaobabError) -> None:
        """Answer with a typed error."""
        if error.ran is False:
            self._context.metrics.refusals.labels(code=error.code).inc()
        self.set_status(error.status)
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self.set_header("Content-Type", "application/json")
        if error.retry_after is not None:
            self.set_header("Retry-After", str(max(1, round(error.retry_after))))
        self.finish(msgspec.json.encode(error.document()))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        if not isinstance(value, BaobabError):
            logger.opt(exception=value).error("request {} failed", self._request_id)
