"""Which route of a plain service a call takes, and whether it is idempotent."""

from __future__ import annotations

from urllib.parse import unquote

from baobabpulley.errors import BadRequest
from baobabpulley.errors import NotFound
from baobabpulley.model.documents import Route
from baobabpulley.model.documents import ServiceDocument


def find_route(document: ServiceDocument, *, service: str, method: str, path: str) -> Route:
    """Return the route of a call; raise `NotFound` if the service has none for it.

    A route whose path ends in a slash takes everything below it; any other takes just itself.

    >>> orders = Route(method="POST", path="/orders", idempotent=False)
    >>> ledger = ServiceDocument(kind="plain", routes=(orders,))
    >>> find_route(ledger, service="ledger", method="POST", path="/orders").idempotent
    False
    """
    plain = path.partition("?")[0]
    _check_path(plain)
    for route in document.routes:
        if route.method == method and _covers(route.path, plain):
            return route
    raise NotFound(f"{service} has no route for {method} {plain}")


def _covers(route: str, path: str) -> bool:
    return path == route or (route.endswith("/") and path.startswith(route))


def _check_path(path: str) -> None:
    segments = unquote(path).split("/")
    if "\\" in path or "%2f" in path.lower() or any(part in {".", ".."} for part in segments):
        raise BadRequest("the path holds dotted or encoded segments")
