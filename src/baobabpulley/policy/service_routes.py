"""Match calls to the routes of a plain service."""

from __future__ import annotations

from urllib.parse import unquote

from baobabpulley.errors import BadRequest
from baobabpulley.errors import NotFound
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import ServiceRoute


def find_route(document: ServiceDocument, *, service: str, method: str, path: str) -> ServiceRoute:
    """Return the first route that matches a call; raise `NotFound` if there is none.

    A route whose path ends in a slash matches all paths below it; any other matches its exact path.
    Raise `BadRequest` for a path that a service could resolve to another route.

    >>> orders = ServiceRoute(method="POST", path="/orders", idempotent=False)
    >>> ledger = ServiceDocument(kind="plain", routes=(orders,))
    >>> find_route(ledger, service="ledger", method="POST", path="/orders").idempotent
    False
    """
    path_only = path.partition("?")[0]
    _check_path(path_only)
    for route in document.routes:
        if route.method == method and _matches(route.path, path_only):
            return route
    raise NotFound(f"{service} has no route for {method} {path_only}")


def _matches(route: str, path: str) -> bool:
    return path == route or (route.endswith("/") and path.startswith(route))


def _check_path(path: str) -> None:
    segments = unquote(path).split("/")
    if "\\" in path or "%2f" in path.lower() or any(segment in {".", ".."} for segment in segments):
        raise BadRequest("the path contains a '.' or '..' segment, a backslash or an encoded slash")
