"""Access control for request records and burn counts: fleet tools and a team's operators."""

from __future__ import annotations

import base64
import binascii
from typing import Final

import msgspec

from baobabpulley.adapters.envelope import Sealer
from baobabpulley.adapters.envelope import kind_of
from baobabpulley.entry.web import EntryHandler
from baobabpulley.errors import BadToken
from baobabpulley.errors import MessageRejected
from baobabpulley.ports.peers import peer_message

CREDENTIAL_HEADER: Final = "Fleet-Credential"


@peer_message("fleet.credential")
class FleetCredential(msgspec.Struct, frozen=True):
    """Proof that the sender has the fleet's secret; valid for one request to one address."""


def make_credential(sealer: Sealer, *, address: str) -> str:
    """Return the ``Fleet-Credential`` header value for one request to ``address``."""
    message = FleetCredential()
    sealed = sealer.seal(message, kind=kind_of(message), receiver=address)
    return base64.b64encode(sealed.data).decode()


def visible_team(handler: EntryHandler) -> str | None:
    """Return the only team that the requester may see, or ``None`` if it may see all.

    Raises `BadToken` without a valid fleet credential or operator token.
    """
    credential = handler.request.headers.get(CREDENTIAL_HEADER)
    if credential is None:
        return _team_of_operator(handler)
    try:
        data = base64.b64decode(credential, validate=True)
        opened = handler.context.sealer.open(data, receiver=handler.context.node.http)
    except (binascii.Error, ValueError, MessageRejected) as error:
        handler.context.metrics.rejected_messages.inc()
        raise BadToken("the fleet credential is not valid for this entry") from error
    if not isinstance(opened.message, FleetCredential):
        raise BadToken("the fleet credential is not valid for this entry")
    return None


def _team_of_operator(handler: EntryHandler) -> str:
    scheme, _, token = handler.request.headers.get("Authorization", "").partition(" ")
    if scheme != "Bearer" or not token:
        raise BadToken(f"send an operator's bearer token, or {CREDENTIAL_HEADER}")
    return handler.context.view.settings_state.team_of_operator(token)
