"""The settings in force in a process: the value of each key at its highest known revision.

A value is installed only if its revision is greater than the installed one, as the Garnet
sharding overview specifies for a worker's configuration epoch. Limits only grow, whatever is
received. The limit commitments are written in the same transaction as a team's limit, so they
are a second stored copy of it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from hashlib import sha256
from typing import Final
from typing import final

import msgspec

from baobabpulley.errors import BadToken
from baobabpulley.errors import Forbidden
from baobabpulley.errors import InvalidDocument
from baobabpulley.model.documents import COMMITMENTS_KEY
from baobabpulley.model.documents import FLEET_PREFIX
from baobabpulley.model.documents import TEAMS_PREFIX
from baobabpulley.model.documents import AccessDocument
from baobabpulley.model.documents import CommitmentsDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import check_document
from baobabpulley.model.documents import decode_document
from baobabpulley.model.limits import Limit

ALARM_BAD_DOCUMENT: Final = "bad_document"
ALARM_LIMIT_LOWERED: Final = "limit_lowered"
MAX_PAGE_BYTES: Final = 2_000_000

Alarm = Callable[[str, str], None]
ChangeListener = Callable[[int], None]


class SettingsPage(msgspec.Struct, frozen=True):
    """Entries that bring a recipient up to ``revision``; ``more`` if there are later ones."""

    entries: tuple[StoredEntry, ...]
    revision: int
    more: bool


@final
class SettingsState:
    """All settings under the root key, decoded, at the highest known revision of each key."""

    __slots__ = (
        "_access",
        "_alarm",
        "_caller_tokens",
        "_commitments",
        "_document_limits",
        "_entries",
        "_limits",
        "_limits_above_documents",
        "_listeners",
        "_models",
        "_newest_entry_revision",
        "_operator_tokens",
        "_rejected_revisions",
        "_revision",
        "_services",
        "_teams_below_limit",
        "_tokens_stale",
    )

    def __init__(self, *, alarm: Alarm | None = None) -> None:
        self._alarm = alarm or _ignore
        self._entries: dict[str, StoredEntry] = {}
        self._revision = 0
        self._limits: dict[str, Limit] = {}
        self._access: dict[str, AccessDocument] = {}
        self._services: dict[str, ServiceDocument] = {}
        self._models: dict[str, ModelDocument] = {}
        self._commitments = CommitmentsDocument()
        self._caller_tokens: dict[str, str] = {}
        self._operator_tokens: dict[str, str] = {}
        self._tokens_stale = False
        self._newest_entry_revision = 0
        self._document_limits: dict[str, Limit] = {}
        self._limits_above_documents: dict[str, Limit] = {}
        self._teams_below_limit: frozenset[str] = frozenset()
        self._rejected_revisions: dict[str, int] = {}
        self._listeners: list[ChangeListener] = []

    @property
    def revision(self) -> int:
        """The revision up to which all changes are known; 0 before the first settings arrive."""
        return self._revision

    @property
    def services(self) -> dict[str, ServiceDocument]:
        """Descriptions of services, by name."""
        return self._services

    @property
    def models(self) -> dict[str, ModelDocument]:
        """Placements of models, by name."""
        return self._models

    @property
    def commitments(self) -> CommitmentsDocument:
        """The limits that the fleet is committed to honour."""
        return self._commitments

    @property
    def teams(self) -> tuple[str, ...]:
        """Names of all teams that have tokens, sorted."""
        return tuple(sorted(self._access))

    @property
    def limits(self) -> dict[str, Limit]:
        """Limits in force, by team."""
        return self._limits

    @property
    def limits_above_documents(self) -> dict[str, Limit]:
        """Limits in force that are larger than in the stored documents, by team."""
        return self._limits_above_documents

    @property
    def teams_below_limit_in_store(self) -> frozenset[str]:
        """Teams whose stored limit or limit commitment is below the limit in force."""
        return self._teams_below_limit

    @property
    def rejected_revisions(self) -> dict[str, int]:
        """Revision of each stored document that was rejected as invalid, by key."""
        return self._rejected_revisions

    def on_change(self, listener: ChangeListener) -> None:
        """Call ``listener`` after each change, with the revision that was known before it."""
        self._listeners.append(listener)

    def raise_limits(self, limits: dict[str, Limit]) -> None:
        """Raise limits to those in force in another process, where these are larger."""
        raised = {
            team: limit for team, limit in limits.items() if not self.limit(team).covers(limit)
        }
        for team, limit in raised.items():
            self._limits[team] = self.limit(team).merged(limit)
        if raised:
            self._refresh_and_notify(self._revision)

    def install(self, entries: Iterable[StoredEntry], *, revision: int = 0, since: int = 0) -> int:
        """Install newer entries and return how many were new.

        The entries are all changes after ``since`` up to ``revision``. If ``since`` is past the
        known revision, they are installed, but the known revision stays, so that the missing
        changes are still requested.
        """
        before = self._revision
        count = 0
        for entry in sorted(entries, key=_by_revision):
            count += self._install_entry(entry)
        if self._tokens_stale:
            self._index_tokens()
        if since <= self._revision:
            self._revision = max(self._revision, revision)
        if count or self._revision > before:
            self._refresh_and_notify(before)
        return count

    def install_snapshot(self, entries: Iterable[StoredEntry], *, revision: int) -> int:
        """Install a full read of the store; a key missing from it was deleted by ``revision``."""
        snapshot = tuple(entries)
        present = {entry.key for entry in snapshot}
        deleted = [
            StoredEntry(key=key, value=None, mod_revision=revision)
            for key, installed in self._entries.items()
            if key not in present
            and installed.value is not None
            and installed.mod_revision <= revision
        ]
        return self.install([*snapshot, *deleted], revision=revision)

    def newer_than(self, revision: int) -> tuple[StoredEntry, ...]:
        """Return all entries after a revision, including deletions, oldest first."""
        if revision >= self._newest_entry_revision:
            return ()
        newer = (entry for entry in self._entries.values() if entry.mod_revision > revision)
        return tuple(sorted(newer, key=_by_revision))

    def page(self, since: int, *, max_bytes: int = MAX_PAGE_BYTES) -> SettingsPage:
        """Return entries after the revision ``since``, oldest first, up to ``max_bytes``.

        The entries of one revision are never split, so a page may be larger.
        """
        newer = self.newer_than(since)
        size = 0
        for index, entry in enumerate(newer):
            size += len(entry.value or b"") + len(entry.key)
            at_boundary = index > 0 and newer[index - 1].mod_revision < entry.mod_revision
            if size > max_bytes and at_boundary:
                last = newer[index - 1].mod_revision
                return SettingsPage(
                    entries=newer[:index], revision=min(last, self._revision), more=True
                )
        return SettingsPage(entries=newer, revision=self._revision, more=False)

    def limit(self, team: str) -> Limit:
        """Return a team's limit in force; all zero for a team without one."""
        return self._limits.get(team, Limit())

    def access(self, team: str) -> AccessDocument:
        """Return the digests of a team's tokens, and its weight."""
        return self._access.get(team, AccessDocument())

    def entry(self, key: str) -> StoredEntry | None:
        """Return the entry that is in force under a key."""
        return self._entries.get(key)

    def team_of_token(self, token: str) -> str:
        """Return the client account of a bearer token; raise `BadToken` if there is none."""
        team = self._caller_tokens.get(token_digest(token))
        if team is None:
            raise BadToken("the bearer token belongs to no client account")
        return team

    def team_of_operator(self, token: str) -> str:
        """Return the team of an operator's token.

        Raises `Forbidden` for a caller's token, and `BadToken` for an unknown one.
        """
        digest = token_digest(token)
        team = self._operator_tokens.get(digest)
        if team is not None:
            return team
        if digest in self._caller_tokens:
            raise Forbidden("a caller's token cannot change settings")
        raise BadToken("the bearer token belongs to no operator")

    def _install_entry(self, entry: StoredEntry) -> bool:
        installed = self._entries.get(entry.key)
        if installed is not None and entry.mod_revision <= installed.mod_revision:
            return False
        try:
            self._apply(entry)
        except InvalidDocument as error:
            self._reject(entry, error)
            return False
        self._entries[entry.key] = entry
        self._newest_entry_revision = max(self._newest_entry_revision, entry.mod_revision)
        if self._rejected_revisions.get(entry.key, 0) < entry.mod_revision:
            self._rejected_revisions.pop(entry.key, None)
        return True

    def _reject(self, entry: StoredEntry, error: InvalidDocument) -> None:
        if entry.mod_revision > self._rejected_revisions.get(entry.key, 0):
            self._rejected_revisions[entry.key] = entry.mod_revision
            self._alarm(ALARM_BAD_DOCUMENT, error.message)

    def _refresh_and_notify(self, before: int) -> None:
        teams_below, self._limits_above_documents = set(), {}
        for team, limit in self._limits.items():
            stored = self._document_limits.get(team, Limit())
            committed = self._commitments.teams.get(team, Limit())
            if not (stored.covers(limit) and committed.covers(limit)):
                teams_below.add(team)
            if not stored.merged(committed).covers(limit):
                self._limits_above_documents[team] = limit
        self._teams_below_limit = frozenset(teams_below)
        for listener in self._listeners:
            listener(before)

    def _apply(self, entry: StoredEntry) -> None:
        if entry.value is None:
            self._remove(entry.key)
            return
        team, _, leaf = entry.key.removeprefix(TEAMS_PREFIX).partition("/")
        if entry.key.startswith(TEAMS_PREFIX) and leaf == "limit":
            self._apply_limit(team, decode_document(entry, LimitDocument), entry)
        elif entry.key.startswith(TEAMS_PREFIX) and leaf == "access":
            self._access[team] = decode_document(entry, AccessDocument)
            self._tokens_stale = True
        elif entry.key.startswith(FLEET_PREFIX):
            self._apply_fleet_document(entry)
        else:
            check_document(entry)

    def _apply_fleet_document(self, entry: StoredEntry) -> None:
        kind, _, name = entry.key.removeprefix(FLEET_PREFIX).partition("/")
        if kind == "services":
            self._services[name] = decode_document(entry, ServiceDocument)
        elif kind == "models":
            self._models[name] = decode_document(entry, ModelDocument)
        elif kind == "promises":
            self._apply_commitments(decode_document(entry, CommitmentsDocument), entry)
        else:
            check_document(entry)

    def _apply_limit(self, team: str, document: LimitDocument, entry: StoredEntry) -> None:
        current = self.limit(team)
        if not document.limit.covers(current):
            self._alarm(
                ALARM_LIMIT_LOWERED,
                f"{entry.key} at revision {entry.mod_revision} is below the limit in force; "
                f"the larger values are kept",
            )
        self._limits[team] = current.merged(document.limit)
        self._document_limits[team] = document.limit

    def _apply_commitments(self, document: CommitmentsDocument, entry: StoredEntry) -> None:
        for team, committed in self._commitments.teams.items():
            if not document.teams.get(team, Limit()).covers(committed):
                self._alarm(
                    ALARM_LIMIT_LOWERED,
                    f"{entry.key} at revision {entry.mod_revision} lowers {team}'s commitment; "
                    f"the limit in force is kept",
                )
        self._commitments = document
        for team, committed in document.teams.items():
            self._limits[team] = self.limit(team).merged(committed)

    def _remove(self, key: str) -> None:
        team, _, leaf = key.removeprefix(TEAMS_PREFIX).partition("/")
        if key.startswith(TEAMS_PREFIX) and leaf == "access":
            self._access.pop(team, None)
            self._tokens_stale = True
        elif key.startswith(TEAMS_PREFIX) and leaf == "limit" and team in self._limits:
            # A limit is never lowered, not even when its key is deleted by hand.
            self._alarm(ALARM_LIMIT_LOWERED, f"{key} was deleted; the limit in force is kept")
            self._document_limits.pop(team, None)
        elif key == COMMITMENTS_KEY:
            self._alarm(ALARM_LIMIT_LOWERED, f"{key} was deleted; the limits in force are kept")
            self._commitments = CommitmentsDocument()
        elif key.startswith(FLEET_PREFIX):
            kind, _, name = key.removeprefix(FLEET_PREFIX).partition("/")
            documents: dict[str, dict[str, ServiceDocument] | dict[str, ModelDocument]] = {
                "services": self._services,
                "models": self._models,
            }
            documents.get(kind, {}).pop(name, None)

    def _index_tokens(self) -> None:
        self._tokens_stale = False
        self._caller_tokens = {
            digest: team
            for team, document in self._access.items()
            for digest in document.caller_tokens
        }
        self._operator_tokens = {
            digest: team
            for team, document in self._access.items()
            for digest in document.operator_tokens
        }


def token_digest(token: str) -> str:
    """Return the hex SHA-256 digest that stands for a bearer token in settings."""
    return sha256(token.encode()).hexdigest()


def _by_revision(entry: StoredEntry) -> int:
    return entry.mod_revision


def _ignore(kind: str, message: str) -> None:
    del kind, message
