"""Documents in the configuration store, and the keys under which they are stored.

Every document is JSON. The documents of a team are in the subtree ``/baobab/teams/<team>/``,
those of the whole fleet in ``/baobab/fleet/``.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Final
from typing import TypeVar
from typing import cast

import msgspec

from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import InvalidDocument
from baobabpulley.model.limits import Limit

ROOT_PREFIX: Final = "/baobab/"
TEAMS_PREFIX: Final = "/baobab/teams/"
FLEET_PREFIX: Final = "/baobab/fleet/"
LEASES_PREFIX: Final = "/baobab/leases/"
CLAIMS_PREFIX: Final = "/baobab/claims/"
CHANGES_PREFIX: Final = "/baobab/changes/"
COMMITMENTS_KEY: Final = "/baobab/fleet/promises"

MAX_DOCUMENT_BYTES: Final = 1_000_000

DocumentT = TypeVar("DocumentT", bound=msgspec.Struct)


class LimitDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``/baobab/teams/<team>/limit``: a team's limit and the id of the change that wrote it."""

    limit: Limit
    change_id: str = ""


class AccessDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``/baobab/teams/<team>/access``: who may act for a team, and the team's weight.

    The tokens are hex SHA-256 digests of bearer tokens.
    """

    caller_tokens: tuple[str, ...] = ()
    operator_tokens: tuple[str, ...] = ()
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    change_id: str = ""


class ServiceRoute(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that a plain service accepts; ``path`` is a prefix without the service's name."""

    method: str
    path: str
    idempotent: bool


class ServiceDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``/baobab/fleet/services/<service>``: the protocol of the upstreams of one service.

    ``checks_fencing`` and ``checks_sender`` say whether the upstreams verify an order's fencing
    token and its sender. ``dialect`` says how engines run long prefills, ``chunked`` or ``whole``;
    ``routes`` lists the calls of a plain service.
    """

    kind: Annotated[str, msgspec.Meta(pattern="^(engine|plain)$")]
    checks_fencing: bool = True
    checks_sender: bool = True
    dialect: str = "chunked"
    routes: tuple[ServiceRoute, ...] = ()


class ModelDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``/baobab/fleet/models/<model>``: on which engines a model is to be loaded.

    ``share`` is the fraction of the service's engines in each failure domain that load it.
    ``adapters`` are loaded with it, and ``version`` identifies the weights.
    """

    service: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    change_id: str = ""


class CommitmentsDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``/baobab/fleet/promises``: the limits that the fleet is committed to honour, by team."""

    teams: dict[str, Limit] = {}
    change_id: str = ""


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``/baobab/changes/<team>/<change_id>``: the outcome of a change, attached to a lease.

    The record is created in the change's own transaction. To abandon a change whose outcome is
    unknown, the record is created with ``accepted`` false instead; the change's transaction can
    then no longer succeed.
    """

    accepted: bool
    key: str = ""


class StoredEntry(msgspec.Struct, frozen=True):
    """One key of the store as read; ``value`` is ``None`` if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int
    create_revision: int = 0
    lease: int = 0


def limit_key(team: str) -> str:
    """Return the key of a team's limit.

    >>> limit_key("souk")
    '/baobab/teams/souk/limit'
    """
    return f"{TEAMS_PREFIX}{team}/limit"


def access_key(team: str) -> str:
    """Return the key of a team's access document."""
    return f"{TEAMS_PREFIX}{team}/access"


def change_key(team: str, change_id: str) -> str:
    """Return the key of a change's record.

    >>> change_key("souk", "c1")
    '/baobab/changes/souk/c1'
    """
    return f"{CHANGES_PREFIX}{team}/{change_id}"


def document_key(team: str, name: str) -> str:
    """Return the key of one of a team's own settings documents."""
    return f"{TEAMS_PREFIX}{team}/settings/{name}"


def service_key(service: str) -> str:
    """Return the key of a service's document."""
    return f"{FLEET_PREFIX}services/{service}"


def model_key(model: str) -> str:
    """Return the key of a model's document."""
    return f"{FLEET_PREFIX}models/{model}"


def order_lease_key(failure_domain: str) -> str:
    """Return the key of the lease under which one keeper sends a failure domain's orders."""
    return f"{LEASES_PREFIX}tender/{failure_domain}"


def encode_document(document: msgspec.Struct) -> bytes:
    """Encode a document as JSON."""
    return msgspec.json.encode(document)


def check_document(entry: StoredEntry) -> None:
    """Check that a document without a schema is a JSON object of at most `MAX_DOCUMENT_BYTES`.

    Raises `InvalidDocument` naming key and revision.
    """
    _decode(entry, dict[str, Any])


def decode_document(entry: StoredEntry, kind: type[DocumentT]) -> DocumentT:
    """Decode and validate a stored document; raise `InvalidDocument` naming key and revision."""
    return cast(DocumentT, _decode(entry, kind))


def _decode(entry: StoredEntry, kind: Any) -> Any:
    value = entry.value or b""
    if len(value) > MAX_DOCUMENT_BYTES:
        raise InvalidDocument(
            f"{entry.key} at revision {entry.mod_revision} has {len(value)} bytes; "
            f"the maximum is {MAX_DOCUMENT_BYTES}"
        )
    try:
        return msgspec.json.decode(value, type=kind)
    except DECODE_ERRORS as error:
        raise InvalidDocument(f"{entry.key} at revision {entry.mod_revision}: {error}") from error
