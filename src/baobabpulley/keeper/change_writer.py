"""Write settings changes idempotently, so that the outcome of each can always be determined.

Each change has an id of its own. Its transaction also creates a record under that id, and fails if
the record exists already. So a retry has no further effect, and whichever process creates the
record first, as accepted or as rejected, decides the outcome even if responses are lost.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final
from typing import TypeVar
from typing import final

import msgspec

from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import BadRequest
from baobabpulley.errors import ChangeOutcomeUnknown
from baobabpulley.errors import Conflict
from baobabpulley.errors import InvalidDocument
from baobabpulley.errors import LimitLowered
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.model.documents import COMMITMENTS_KEY
from baobabpulley.model.documents import MAX_DOCUMENT_BYTES
from baobabpulley.model.documents import ChangeRecord
from baobabpulley.model.documents import CommitmentsDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import change_key
from baobabpulley.model.documents import decode_document
from baobabpulley.model.documents import document_key
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import limit_key
from baobabpulley.model.limits import Limit
from baobabpulley.model.settings_messages import ChangeAccepted
from baobabpulley.model.settings_messages import RaiseLimit
from baobabpulley.model.settings_messages import ResolveChange
from baobabpulley.model.settings_messages import WriteDocument
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.policy.commitments import CommitmentCapacity
from baobabpulley.policy.commitments import check_limit_raise
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import Swap
from baobabpulley.timers import TimerService

RECORD_TTL_SECONDS: Final = 86_400.0
LEASE_REUSE_SECONDS: Final = 3_600.0
RESOLVE_TIMEOUT_SECONDS: Final = 4.0
RETRY_MAX_SECONDS: Final = 0.5
MAX_CONFLICTS: Final = 16

D = TypeVar("D", bound=msgspec.Struct)


@final
class ChangeWriter:
    """Write changes to the store."""

    __slots__ = (
        "_capacity",
        "_lease",
        "_lease_until",
        "_random",
        "_settings_state",
        "_store",
        "_timers",
    )

    def __init__(
        self,
        *,
        store: ConfigStore,
        settings_state: SettingsState,
        capacity: Callable[[], CommitmentCapacity],
        timers: TimerService,
        seed: int | str | None = None,
    ) -> None:
        self._store = store
        self._settings_state = settings_state
        self._capacity = capacity
        self._timers = timers
        self._random = random.Random(seed)
        self._lease = 0
        self._lease_until = 0.0

    async def raise_limit(self, change: RaiseLimit) -> ChangeAccepted:
        """Raise a team's limit and its limit commitment in one transaction.

        Raises `LimitLowered`, `CommitmentRefused`, `Conflict` or `StoreUnavailable` if nothing was
        written, and `ChangeOutcomeUnknown` if it is not known whether the change was written.
        """
        if change.limit.max_prompt_tokens > change.limit.max_tokens_in_flight:
            raise BadRequest("max_tokens_in_flight is below max_prompt_tokens")
        for _ in range(MAX_CONFLICTS):
            recorded = await self._recorded_outcome(change.team, change.change_id)
            if recorded is not None:
                return recorded
            swaps = await self._raise_swaps(change)
            accepted = await self._commit(swaps, team=change.team, change_id=change.change_id)
            if accepted is not None:
                return accepted
            await self._back_off()
        raise Conflict(f"gave up after {MAX_CONFLICTS} attempts because of concurrent changes")

    async def restore_limit(self, change: RaiseLimit) -> ChangeAccepted | None:
        """Raise both stored copies of a limit to the limit in force.

        The capacity for commitments is not checked again. Returns ``None`` if neither copy was
        below the limit in force. A copy that cannot be decoded is left as it is. Raises the errors
        of `raise_limit`.
        """
        for _ in range(MAX_CONFLICTS):
            swaps = await self._restore_swaps(change)
            if not swaps:
                return None
            accepted = await self._commit(swaps, team=change.team, change_id=change.change_id)
            if accepted is not None:
                return accepted
            await self._back_off()
        raise Conflict(f"gave up after {MAX_CONFLICTS} attempts because of concurrent changes")

    async def write_document(self, change: WriteDocument) -> ChangeAccepted:
        """Write or delete a team's own settings document.

        Raises the errors of `raise_limit`, and `BadRequest` for an invalid document.
        """
        _check_value(change.value)
        key = document_key(change.team, change.name)
        for _ in range(MAX_CONFLICTS):
            recorded = await self._recorded_outcome(change.team, change.change_id)
            if recorded is not None:
                return recorded
            stored = await self._store.get(key)
            revision = stored.mod_revision if stored is not None else 0
            if change.expected_revision not in (None, revision):
                raise Conflict(f"the document is at revision {revision}")
            swap = Swap(key=key, value=change.value, expected_revision=revision)
            accepted = await self._commit([swap], team=change.team, change_id=change.change_id)
            if accepted is not None:
                return accepted
            await self._back_off()
        raise Conflict(f"gave up after {MAX_CONFLICTS} attempts because of concurrent changes")

    async def resolve(self, change: ResolveChange) -> ChangeAccepted:
        """Determine the outcome of a change; reject it for good if it has not been written.

        Raises `Conflict` if the change was rejected, and `ChangeOutcomeUnknown` or
        `StoreUnavailable` if the store does not respond.
        """
        recorded = await self._recorded_outcome(change.team, change.change_id)
        if recorded is not None:
            return recorded
        return await self._record_rejection(change.team, change.change_id)

    async def _recorded_outcome(self, team: str, change_id: str) -> ChangeAccepted | None:
        entry = await self._store.get(change_key(team, change_id))
        if entry is None:
            return None
        if not decode_document(entry, ChangeRecord).accepted:
            raise Conflict(
                f"change {change_id} was rejected and cannot be accepted any more",
                remedy="Make the change again under a new change id.",
            )
        return ChangeAccepted(change_id=change_id, revision=entry.mod_revision)

    async def _raise_swaps(self, change: RaiseLimit) -> list[Swap]:
        stored_limit = await self._store.get(limit_key(change.team))
        stored_commitments = await self._store.get(COMMITMENTS_KEY)
        committed = self._committed_limits(stored_commitments)
        current = committed.get(change.team, Limit())
        document = _decoded(stored_limit, LimitDocument)
        if document is not None:
            current = current.merged(document.limit)
        if not change.limit.covers(current):
            raise LimitLowered(
                f"the limit in force of {change.team} is max_prompt_tokens "
                f"{current.max_prompt_tokens}, max_tokens_in_flight {current.max_tokens_in_flight}"
            )
        check_limit_raise(
            team=change.team,
            wanted=change.limit,
            current=current,
            committed=committed,
            capacity=self._capacity(),
        )
        commitments = CommitmentsDocument(
            teams={**committed, change.team: change.limit}, change_id=change.change_id
        )
        limit = LimitDocument(limit=change.limit, change_id=change.change_id)
        return [
            _swap(COMMITMENTS_KEY, encode_document(commitments), stored_commitments),
            _swap(limit_key(change.team), encode_document(limit), stored_limit),
        ]

    async def _restore_swaps(self, change: RaiseLimit) -> list[Swap]:
        team, limit = change.team, change.limit
        stored_limit = await self._store.get(limit_key(team))
        stored_commitments = await self._store.get(COMMITMENTS_KEY)
        document = (
            LimitDocument(Limit())
            if stored_limit is None
            else _decoded(stored_limit, LimitDocument)
        )
        commitments = (
            CommitmentsDocument()
            if stored_commitments is None
            else _decoded(stored_commitments, CommitmentsDocument)
        )
        swaps = []
        if commitments is not None and not commitments.teams.get(team, Limit()).covers(limit):
            merged = commitments.teams.get(team, Limit()).merged(limit)
            restored = CommitmentsDocument(
                teams={**commitments.teams, team: merged}, change_id=change.change_id
            )
            swaps.append(_swap(COMMITMENTS_KEY, encode_document(restored), stored_commitments))
        if document is not None and not document.limit.covers(limit):
            written = LimitDocument(limit=document.limit.merged(limit), change_id=change.change_id)
            swaps.append(_swap(limit_key(team), encode_document(written), stored_limit))
        return swaps

    def _committed_limits(self, stored_commitments: StoredEntry | None) -> dict[str, Limit]:
        """Return the limits committed to all teams: the stored ones and those in force."""
        committed = dict(self._settings_state.limits)
        document = _decoded(stored_commitments, CommitmentsDocument)
        if document is not None:
            for team, limit in document.teams.items():
                committed[team] = committed.get(team, Limit()).merged(limit)
        return committed

    async def _commit(
        self, swaps: list[Swap], *, team: str, change_id: str
    ) -> ChangeAccepted | None:
        """Swap all keys together with the change's record; ``None`` if nothing was written."""
        record = Swap(
            key=change_key(team, change_id),
            value=encode_document(ChangeRecord(accepted=True, key=swaps[-1].key)),
            expected_revision=0,
            lease=await self._record_lease(),
        )
        try:
            outcome = await self._store.swap(*swaps, record)
        except StoreResponseLost:
            return await self._resolve_lost_response(swaps, record, team=team, change_id=change_id)
        if outcome.applied:
            self._install(swaps, outcome.revision)
            return ChangeAccepted(change_id=change_id, revision=outcome.revision)
        # The swap may have failed because the lease had expired; the next attempt gets a new one.
        self._lease_until = 0.0
        return None

    async def _resolve_lost_response(
        self, swaps: list[Swap], record: Swap, *, team: str, change_id: str
    ) -> ChangeAccepted:
        """Retry a transaction whose response was lost until its outcome is known."""
        end = self._timers.now() + RESOLVE_TIMEOUT_SECONDS
        while self._timers.now() < end:
            await self._back_off()
            try:
                outcome = await self._store.swap(*swaps, record)
                if outcome.applied:
                    self._install(swaps, outcome.revision)
                    return ChangeAccepted(change_id=change_id, revision=outcome.revision)
                recorded = await self._recorded_outcome(team, change_id)
                return recorded or await self._record_rejection(team, change_id)
            except StoreUnavailable:
                continue
        raise ChangeOutcomeUnknown(
            f"the store's response to change {change_id} was lost",
            remedy=f"Poll GET /v1/changes/{change_id} until it reports the outcome.",
        )

    async def _record_rejection(self, team: str, change_id: str) -> ChangeAccepted:
        """Record a change as rejected, so that a delayed copy of it fails; return its outcome."""
        record = Swap(
            key=change_key(team, change_id),
            value=encode_document(ChangeRecord(accepted=False)),
            expected_revision=0,
            lease=await self._record_lease(),
        )
        try:
            await self._store.swap(record)
        except StoreResponseLost as error:
            raise ChangeOutcomeUnknown(
                f"the outcome of change {change_id} is not known yet"
            ) from error
        recorded = await self._recorded_outcome(team, change_id)
        if recorded is None:
            self._lease_until = 0.0
            raise ChangeOutcomeUnknown(f"the outcome of change {change_id} is not known yet")
        return recorded

    async def _record_lease(self) -> int:
        now = self._timers.now()
        if now >= self._lease_until:
            try:
                self._lease = await self._store.grant_lease(RECORD_TTL_SECONDS)
            except StoreResponseLost as error:
                # Nothing was written, and a lease that was granted anyway expires by itself.
                raise StoreUnavailable(f"the store granted no lease: {error}") from error
            self._lease_until = now + LEASE_REUSE_SECONDS
        return self._lease

    def _install(self, swaps: list[Swap], revision: int) -> None:
        # The watch will deliver the same entries; this keeper's subscribers need not wait for it.
        entries = [StoredEntry(key=s.key, value=s.value, mod_revision=revision) for s in swaps]
        self._settings_state.install(entries)

    async def _back_off(self) -> None:
        await self._timers.sleep(self._random.uniform(0.0, RETRY_MAX_SECONDS))


def _swap(key: str, value: bytes, stored: StoredEntry | None) -> Swap:
    return Swap(key=key, value=value, expected_revision=stored.mod_revision if stored else 0)


def _decoded(entry: StoredEntry | None, kind: type[D]) -> D | None:
    """Return a stored document, ``None`` if it is missing or invalid."""
    if entry is None:
        return None
    try:
        return decode_document(entry, kind)
    except InvalidDocument:
        return None


def _check_value(value: bytes | None) -> None:
    if value is None:
        return
    if len(value) > MAX_DOCUMENT_BYTES:
        raise BadRequest(
            f"the document has {len(value)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"
        )
    try:
        msgspec.json.decode(value, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS as error:
        raise BadRequest(f"the document is not a JSON object: {error}") from error
