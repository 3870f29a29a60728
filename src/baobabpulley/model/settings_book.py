"""The settings that a process acts on: the newest revision of each key, and never an older one.

A value is installed only if its revision is greater than the one held, as the Garnet sharding
overview does for a worker's configuration epoch. Limits only grow whatever arrives.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from hashlib import sha256
from typing import Final
from typing import final

from baobabpulley.errors import BadToken
from baobabpulley.errors import DocumentFault
from baobabpulley.model.documents import FLEET
from baobabpulley.model.documents import TEAMS
from baobabpulley.model.documents import AccessDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import PromiseDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import decode_document
from baobabpulley.model.limits import Limit

ALARM_BAD_DOCUMENT: Final = "bad_document"
ALARM_LIMIT_LOWERED: Final = "limit_lowered"

Alarm = Callable[[str, str], None]


@final
class SettingsBook:
    """All settings below the root, typed, with the highest revision of each key."""

    __slots__ = (
        "_access",
        "_alarm",
        "_entries",
        "_limits",
        "_models",
        "_promises",
        "_revision",
        "_services",
        "_tokens",
    )

    def __init__(self, *, alarm: Alarm | None = None) -> None:
        self._alarm = alarm or _ignore
        self._entries: dict[str, StoredEntry] = {}
        self._revision = 0
        self._limits: dict[str, Limit] = {}
        self._access: dict[str, AccessDocument] = {}
        self._services: dict[str, ServiceDocument] = {}
        self._models: dict[str, ModelDocument] = {}
        self._promises = PromiseDocument()
        self._tokens: dict[str, str] = {}

    @property
    def revision(self) -> int:
        """The highest revision seen, 0 before the first settings arrive."""
        return self._revision

    @property
    def services(self) -> dict[str, ServiceDocument]:
        """Descriptions of services by name."""
        return self._services

    @property
    def models(self) -> dict[str, ModelDocument]:
        """Placements of models by name."""
        return self._models

    @property
    def promises(self) -> PromiseDocument:
        """What the fleet has promised."""
        return self._promises

    @property
    def teams(self) -> tuple[str, ...]:
        """Names of all teams that have tokens, sorted."""
        return tuple(sorted(self._access))

    @property
    def limits(self) -> dict[str, Limit]:
        """Limits in force by team."""
        return self._limits

    def raise_limits(self, limits: dict[str, Limit]) -> None:
        """Take over limits that another process has in force, where they are larger."""
        for team, limit in limits.items():
            self._limits[team] = self.limit(team).merged(limit)

    def install(self, entries: Iterable[StoredEntry], *, revision: int = 0) -> int:
        """Install newer entries and return how many were new.

        ``revision`` is the store's revision up to which the entries are complete.
        """
        count = 0
        for entry in sorted(entries, key=_by_revision):
            count += self._install_one(entry)
        self._revision = max(self._revision, revision)
        return count

    def newer_than(self, revision: int) -> tuple[StoredEntry, ...]:
        """Return all entries, deletions too, past a revision, oldest first."""
        newer = (entry for entry in self._entries.values() if entry.mod_revision > revision)
        return tuple(sorted(newer, key=_by_revision))

    def limit(self, team: str) -> Limit:
        """Return a team's limit; zero for a team without one."""
        return self._limits.get(team, Limit())

    def access(self, team: str) -> AccessDocument:
        """Return a team's tokens and weight."""
        return self._access.get(team, AccessDocument())

    def entry(self, key: str) -> StoredEntry | None:
        """Return the entry that is in force under a key."""
        return self._entries.get(key)

    def team_of_token(self, token: str) -> str:
        """Return the client account of a bearer token; raise `BadToken` if there is none."""
        team = self._tokens.get(token_digest(token))
        if team is None:
            raise BadToken("the bearer token belongs to no client account")
        return team

    def team_of_operator(self, token: str) -> str:
        """Return the team of an operator's bearer token; raise `BadToken` if there is none."""
        digest = token_digest(token)
        for team, document in self._access.items():
            if digest in document.operator_tokens:
                return team
        raise BadToken("the bearer token belongs to no operator")

    def _install_one(self, entry: StoredEntry) -> bool:
        held = self._entries.get(entry.key)
        if held is not None and entry.mod_revision <= held.mod_revision:
            return False
        self._revision = max(self._revision, entry.mod_revision)
        if entry.value is not None:
            try:
                self._apply(entry)
            except DocumentFault as fault:
                self._alarm(ALARM_BAD_DOCUMENT, fault.message)
                return False
        else:
            self._remove(entry.key)
        self._entries[entry.key] = entry
        return True

    def _apply(self, entry: StoredEntry) -> None:
        owner, _, leaf = entry.key.removeprefix(TEAMS).partition("/")
        if entry.key.startswith(TEAMS) and leaf == "limit":
            self._apply_limit(owner, decode_document(entry, LimitDocument), entry)
        elif entry.key.startswith(TEAMS) and leaf == "access":
            self._access[owner] = decode_document(entry, AccessDocument)
            self._index_tokens()
        elif entry.key.startswith(FLEET):
            self._apply_fleet(entry)

    def _apply_fleet(self, entry: StoredEntry) -> None:
        kind, _, name = entry.key.removeprefix(FLEET).partition("/")
        if kind == "services":
            self._services[name] = decode_document(entry, ServiceDocument)
        elif kind == "models":
            self._models[name] = decode_document(entry, ModelDocument)
        elif kind == "promises":
            self._promises = decode_document(entry, PromiseDocument)

    def _apply_limit(self, team: str, document: LimitDocument, entry: StoredEntry) -> None:
        held = self.limit(team)
        if not document.limit.covers(held):
            self._alarm(
                ALARM_LIMIT_LOWERED,
                f"{entry.key} at revision {entry.mod_revision} is below the limit in force; "
                f"the larger figures stay",
            )
        self._limits[team] = held.merged(document.limit)

    def _remove(self, key: str) -> None:
        owner, _, leaf = key.removeprefix(TEAMS).partition("/")
        if key.startswith(TEAMS) and leaf == "access":
            self._access.pop(owner, None)
            self._index_tokens()
        elif key.startswith(TEAMS) and leaf == "limit" and owner in self._limits:
            # A limit that was raised stays raised, also when its key is deleted by hand.
            self._alarm(ALARM_LIMIT_LOWERED, f"{key} was deleted; the limit in force stays")
        elif key.startswith(FLEET):
            kind, _, name = key.removeprefix(FLEET).partition("/")
            documents: dict[str, dict[str, ServiceDocument] | dict[str, ModelDocument]] = {
                "services": self._services,
                "models": self._models,
            }
            documents.get(kind, {}).pop(name, None)

    def _index_tokens(self) -> None:
        self._tokens = {
            digest: team
            for team, document in self._access.items()
            for digest in document.caller_tokens
        }


def token_digest(token: str) -> str:
    """Return the hex SHA-256 digest under which a bearer token is kept."""
    return sha256(token.encode()).hexdigest()


def _by_revision(entry: StoredEntry) -> int:
    return entry.mod_revision


def _ignore(kind: str, message: str) -> None:
    del kind, message
