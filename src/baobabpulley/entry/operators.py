"""The operators' API: a team's limit and settings documents, and the outcome of changes.

``GET`` and ``PUT /v1/teams/<team>/limit``, ``GET``, ``PUT`` and ``DELETE
/v1/teams/<team>/settings/<name>``, ``GET /v1/changes/<change_id>``. A request may set the
change id in ``X-Change-Id``; a retry with the same id is the same change.
"""

from __future__ import annotations

import re
import secrets
from typing import Final
from typing import TypeVar
from typing import final

import msgspec
from loguru import logger

from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.entry.web import EntryHandler
from baobabpulley.entry.web import route
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import BodyTooLarge
from baobabpulley.errors import ChangeOutcomeUnknown
from baobabpulley.errors import Forbidden
from baobabpulley.errors import NotFound
from baobabpulley.errors import PeerUnavailable
from baobabpulley.model.documents import MAX_DOCUMENT_BYTES
from baobabpulley.model.documents import document_key
from baobabpulley.model.limits import Limit
from baobabpulley.model.settings_messages import ChangeAccepted
from baobabpulley.model.settings_messages import ChangeId
from baobabpulley.model.settings_messages import RaiseLimit
from baobabpulley.model.settings_messages import ResolveChange
from baobabpulley.model.settings_messages import WriteDocument

CHANGE_ID_HEADER: Final = "X-Change-Id"
CHANGE_TIMEOUT_SECONDS: Final = 12.0

_SEGMENT: Final = r"[a-z0-9][a-z0-9_-]{0,62}"
_LIMIT_PATH: Final = re.compile(rf"/v1/teams/({_SEGMENT})/limit")
_DOCUMENT_PATH: Final = re.compile(rf"/v1/teams/({_SEGMENT})/settings/({_SEGMENT})")

ChangeT = TypeVar("ChangeT", RaiseLimit, WriteDocument, ResolveChange)


class LimitView(msgspec.Struct):
    """A team's current limit, and the settings revision that this entry has applied."""

    team: str
    limit: Limit
    revision: int


class DocumentView(msgspec.Struct):
    """A team's settings document, and the revision at which it was written."""

    name: str
    revision: int
    document: msgspec.Raw


class ChangeView(msgspec.Struct):
    """A change that was accepted, and its settings revision."""

    change_id: str
    revision: int
    state: str = "accepted"


class OperatorHandler(EntryHandler):
    """Check the operator's token, and send changes to a keeper."""

    def operator_team(self) -> str:
        """Return the team of the operator's token."""
        return self.context.view.settings_state.team_of_operator(self.bearer_token())

    def forbidden_error(self, team: str) -> Forbidden:
        """Log a request outside the team's paths, and return the error to raise."""
        logger.warning(
            "an operator of {} was refused {} {}", team, self.request.method, self.request.path
        )
        return Forbidden(f"the token of {team} does not allow this path")

    def change_id(self) -> str:
        """Return the change id that the operator sent, or a generated one."""
        text = self.request.headers.get(CHANGE_ID_HEADER) or secrets.token_hex(16)
        return checked_change_id(text)

    async def submit(self, message: ChangeT) -> None:
        """Have a keeper make or resolve a change, and send its outcome."""
        accepted = await self._request_change(message)
        view = ChangeView(change_id=accepted.change_id, revision=accepted.revision)
        self.set_header(CHANGE_ID_HEADER, message.change_id)
        self.reply(view)

    def reply(self, document: msgspec.Struct) -> None:
        """Send a JSON document as the response."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(document))

    async def _request_change(self, message: ChangeT) -> ChangeAccepted:
        """Send a change to the keepers in turn until one replies.

        Once a keeper may have applied the change, only an acceptance is conclusive: a refusal by
        another keeper does not show whether the first one applied it.
        """
        unknown_outcome = ChangeOutcomeUnknown(
            f"no keeper reported the outcome of change {message.change_id}",
            remedy=f"Retry GET /v1/changes/{message.change_id} until it returns the outcome.",
        )
        may_have_applied = False
        for address in self.context.keeper.addresses:
            try:
                return await self.context.peers.request(
                    address, message, reply_type=ChangeAccepted, timeout=CHANGE_TIMEOUT_SECONDS
                )
            except PeerUnavailable:
                may_have_applied = True
            except BaobabError as error:
                if may_have_applied and not isinstance(message, ResolveChange):
                    raise unknown_outcome from error
                raise
        raise unknown_outcome


@route(r"/v1/(?:teams|fleet|leases|claims)(?:/.*)?")
@final
class TeamHandler(OperatorHandler):
    """Limit and settings documents of the operator's own team; other paths are refused."""

    def prepare(self) -> None:
        if self.request.method not in ("GET", "PUT", "DELETE"):
            return
        team = self.operator_team()
        # Matched undecoded: a path with escapes or dots matches neither pattern.
        limit = _LIMIT_PATH.fullmatch(self.request.path)
        document = _DOCUMENT_PATH.fullmatch(self.request.path)
        match = limit or document
        if match is None or match.group(1) != team:
            raise self.forbidden_error(team)
        self._team = team
        self._name = document.group(2) if document else None

    async def get(self) -> None:
        if self._name is None:
            settings_state = self.context.view.settings_state
            view = LimitView(self._team, settings_state.limit(self._team), settings_state.revision)
            self.reply(view)
            return
        entry = self.context.view.settings_state.entry(document_key(self._team, self._name))
        if entry is None or entry.value is None:
            raise NotFound(f"{self._team} has no settings document {self._name}")
        self.reply(DocumentView(self._name, entry.mod_revision, msgspec.Raw(entry.value)))

    async def put(self) -> None:
        if self._name is None:
            limit = decode_body(self.request.body, Limit)
            await self.submit(RaiseLimit(self._team, self.change_id(), limit))
            return
        if len(self.request.body) > MAX_DOCUMENT_BYTES:
            raise BodyTooLarge(f"the document is longer than {MAX_DOCUMENT_BYTES} bytes")
        await self._write(self.request.body)

    async def delete(self) -> None:
        if self._name is None:
            raise self.forbidden_error(self._team)
        await self._write(None)

    async def _write(self, value: bytes | None) -> None:
        assert self._name is not None
        if_match = self.request.headers.get("If-Match")
        if if_match is not None and not if_match.strip('"').isdecimal():
            raise BadRequest("If-Match is not a revision number")
        await self.submit(
            WriteDocument(
                team=self._team,
                change_id=self.change_id(),
                name=self._name,
                value=value,
                expected_revision=None if if_match is None else int(if_match.strip('"')),
            )
        )


@route(r"/v1/changes/([^/]*)")
@final
class ChangeHandler(OperatorHandler):
    """``GET /v1/changes/<change_id>``: the outcome of a change of the operator's team."""

    async def get(self, change_id: str) -> None:
        team = self.operator_team()
        await self.submit(ResolveChange(team=team, change_id=checked_change_id(change_id)))


def checked_change_id(text: str) -> str:
    """Return the change id; raise `BadRequest` if it is malformed."""
    try:
        return msgspec.convert(text, ChangeId)
    except msgspec.ValidationError as error:
        raise BadRequest(f"invalid change id: {error}") from error


def decode_body(body: bytes, kind: type[Limit]) -> Limit:
    """Decode a JSON request body; raise `BadRequest` if it is invalid."""
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise BadRequest(f"invalid request body: {error}") from error
