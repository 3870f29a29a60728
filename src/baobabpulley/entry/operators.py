"""The operators' API: a team's limit, its own settings documents, and the outcome of changes.

``GET`` and ``PUT /v1/teams/<team>/limit``, ``GET``, ``PUT`` and ``DELETE
/v1/teams/<team>/settings/<name>``, ``GET /v1/changes/<change_id>``. A change may carry its own
id in ``X-Change-Id``; a repeat with the same id is the same change.
"""

from __future__ import annotations

import re
import secrets
from typing import Final
from typing import TypeVar
from typing import final

import msgspec
from loguru import logger

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

Order = TypeVar("Order", RaiseLimit, WriteDocument, ResolveChange)


class LimitView(msgspec.Struct):
    """A team's limit in force and the settings revision that this entry has applied."""

    team: str
    limit: Limit
    revision: int


class DocumentView(msgspec.Struct):
    """A team's own settings document and the revision at which it was written."""

    name: str
    revision: int
    document: msgspec.Raw


class ChangeView(msgspec.Struct):
    """A change that held."""

    change_id: str
    revision: int
    state: str = "accepted"


class OperatorHandler(EntryHandler):
    """Check the operator's token, and pass changes on to a keeper."""

    def operator_team(self) -> str:
        """Return the team of the operator's token."""
        return self.context.view.settings_state.team_of_operator(self.bearer_token())

    def forbid(self, team: str) -> Forbidden:
        """Log a request outside the team's own paths and return its error."""
        logger.warning(
            "an operator of {} was refused {} {}", team, self.request.method, self.request.path
        )
        return Forbidden(f"the token of {team} does not open this path")

    def change_id(self) -> str:
        """Return the change id that the operator gave, or a fresh one."""
        given = self.request.headers.get(CHANGE_ID_HEADER) or secrets.token_hex(16)
        return checked_change_id(given)

    async def change(self, order: Order) -> None:
        """Let a keeper make or resolve a change, and answer with its outcome."""
        accepted = await self._ask_keepers(order)
        view = ChangeView(change_id=accepted.change_id, revision=accepted.revision)
        self.set_header(CHANGE_ID_HEADER, order.change_id)
        self.answer(view)

    def answer(self, document: msgspec.Struct) -> None:
        """Answer with a JSON document."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(document))

    async def _ask_keepers(self, order: Order) -> ChangeAccepted:
        """Ask keepers in turn until one answers.

        Once a keeper may have taken the order, only an accepted change is certain: a refusal by
        another keeper does not tell what the first one did.
        """
        unknown = ChangeOutcomeUnknown(
            f"no keeper told the outcome of change {order.change_id}",
            remedy=f"Ask GET /v1/changes/{order.change_id} until it tells the outcome.",
        )
        sent_before = False
        for address in self.context.keeper.addresses:
            try:
                return await self.context.peers.request(
                    address, order, reply_type=ChangeAccepted, timeout=CHANGE_TIMEOUT_SECONDS
                )
            except PeerUnavailable:
                sent_before = True
            except BaobabError as error:
                if sent_before and not isinstance(order, ResolveChange):
                    raise unknown from error
                raise
        raise unknown


@route(r"/v1/(?:teams|fleet|leases|claims)(?:/.*)?")
@final
class TeamHandler(OperatorHandler):
    """Everything below a team's path; all other paths are refused."""

    def prepare(self) -> None:
        if self.request.method not in ("GET", "PUT", "DELETE"):
            return
        own = self.operator_team()
        # The path as it came: an encoded or dotted one matches neither pattern.
        limit = _LIMIT_PATH.fullmatch(self.request.path)
        document = _DOCUMENT_PATH.fullmatch(self.request.path)
        match = limit or document
        if match is None or match.group(1) != own:
            raise self.forbid(own)
        self._team = own
        self._name = document.group(2) if document else None

    async def get(self) -> None:
        if self._name is None:
            settings_state = self.context.view.settings_state
            view = LimitView(self._team, settings_state.limit(self._team), settings_state.revision)
            self.answer(view)
            return
        entry = self.context.view.settings_state.entry(document_key(self._team, self._name))
        if entry is None or entry.value is None:
            raise NotFound(f"{self._team} has no settings document {self._name}")
        self.answer(DocumentView(self._name, entry.mod_revision, msgspec.Raw(entry.value)))

    async def put(self) -> None:
        if self._name is None:
            limit = decode_body(self.request.body, Limit)
            await self.change(RaiseLimit(self._team, self.change_id(), limit))
            return
        if len(self.request.body) > MAX_DOCUMENT_BYTES:
            raise BodyTooLarge(f"the document is longer than {MAX_DOCUMENT_BYTES} bytes")
        await self._write(self.request.body)

    async def delete(self) -> None:
        if self._name is None:
            raise self.forbid(self._team)
        await self._write(None)

    async def _write(self, value: bytes | None) -> None:
        assert self._name is not None
        given = self.request.headers.get("If-Match")
        if given is not None and not given.strip('"').isdecimal():
            raise BadRequest("If-Match is no revision")
        await self.change(
            WriteDocument(
                team=self._team,
                change_id=self.change_id(),
                name=self._name,
                value=value,
                expected_revision=None if given is None else int(given.strip('"')),
            )
        )


@route(r"/v1/changes/([^/]*)")
@final
class ChangeHandler(OperatorHandler):
    """``GET /v1/changes/<change_id>``: how a change of the token's team ended."""

    async def get(self, change_id: str) -> None:
        team = self.operator_team()
        await self.change(ResolveChange(team=team, change_id=checked_change_id(change_id)))


def checked_change_id(text: str) -> str:
    """Return a well-formed change id; raise `BadRequest` otherwise."""
    try:
        return msgspec.convert(text, ChangeId)
    except msgspec.ValidationError as error:
        raise BadRequest(f"the change id does not check: {error}") from error


def decode_body(body: bytes, kind: type[Limit]) -> Limit:
    """Decode a request's body; raise `BadRequest` otherwise."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"the body does not check: {error}") from error
