"""Write a settings change so that its outcome is always known in the end.

Each change has an id of its own. Its transaction also creates a record under that id, and holds
only if there is no such record yet. So a repeat changes nothing more, and whoever creates the
record first, as accepted or as not, settles the change for good, whatever answers were lost.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final
from typing import TypeVar
from typing import final

import msgspec

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
    """Make changes at the store; each raises typed errors as its method says."""

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

    async def raise_limit(self, order: RaiseLimit) -> ChangeAccepted:
        """Raise a team's limit together with the ledger of promises.

        Raises `LimitLowered`, `CommitmentRefused`, `Conflict` or `StoreUnavailable` if nothing was
        written, and `ChangeOutcomeUnknown` if that is not known.
        """
        if order.limit.max_prompt_tokens > order.limit.max_tokens_in_flight:
            raise BadRequest("max_tokens_in_flight is below max_prompt_tokens")
        for _ in range(MAX_CONFLICTS):
            settled = await self._recorded_outcome(order.team, order.change_id)
            if settled is not None:
                return settled
            swaps = await self._raise_swaps(order)
            accepted = await self._commit(swaps, team=order.team, change_id=order.change_id)
            if accepted is not None:
                return accepted
            await self._back_off()
        raise Conflict("other changes came first again and again")

    async def restore_limit(self, order: RaiseLimit) -> ChangeAccepted | None:
        """Raise both stored copies of a limit to the one in force, without a promise anew.

        Returns ``None`` if neither was below it. A copy that does not parse is left as it is.
        Raises as `raise_limit`.
        """
        for _ in range(MAX_CONFLICTS):
            swaps = await self._restore_swaps(order)
            if not swaps:
                return None
            accepted = await self._commit(swaps, team=order.team, change_id=order.change_id)
            if accepted is not None:
                return accepted
            await self._back_off()
        raise Conflict("other changes came first again and again")

    async def write_document(self, order: WriteDocument) -> ChangeAccepted:
        """Write or delete a team's own settings document.

        Raises as `raise_limit`, and `BadRequest` for a document that would be kept out.
        """
        _check_value(order.value)
        key = document_key(order.team, order.name)
        for _ in range(MAX_CONFLICTS):
            settled = await self._recorded_outcome(order.team, order.change_id)
            if settled is not None:
                return settled
            held = await self._store.get(key)
            revision = held.mod_revision if held is not None else 0
            if order.expected_revision not in (None, revision):
                raise Conflict(f"the document is at revision {revision}")
            swap = Swap(key=key, value=order.value, expected_revision=revision)
            accepted = await self._commit([swap], team=order.team, change_id=order.change_id)
            if accepted is not None:
                return accepted
            await self._back_off()
        raise Conflict("other changes came first again and again")

    async def resolve(self, order: ResolveChange) -> ChangeAccepted:
        """Settle how a change ended.

        Raises `Conflict` if it did not hold and can hold no more, `ChangeOutcomeUnknown` or
        `StoreUnavailable` while the store does not tell.
        """
        settled = await self._recorded_outcome(order.team, order.change_id)
        if settled is not None:
            return settled
        return await self._record_rejection(order.team, order.change_id)

    async def _recorded_outcome(self, team: str, change_id: str) -> ChangeAccepted | None:
        entry = await self._store.get(change_key(team, change_id))
        if entry is None:
            return None
        if not decode_document(entry, ChangeRecord).accepted:
            raise Conflict(
                f"change {change_id} did not hold and can hold no more",
                remedy="Make the change anew under a new change id.",
            )
        return ChangeAccepted(change_id=change_id, revision=entry.mod_revision)

    async def _raise_swaps(self, order: RaiseLimit) -> list[Swap]:
        stored = await self._store.get(limit_key(order.team))
        ledger = await self._store.get(COMMITMENTS_KEY)
        promised = self._committed_limits(ledger)
        held = promised.get(order.team, Limit())
        document = _decoded(stored, LimitDocument)
        if document is not None:
            held = held.merged(document.limit)
        if not order.limit.covers(held):
            raise LimitLowered(
                f"the limit in force of {order.team} is max_prompt_tokens "
                f"{held.max_prompt_tokens}, max_tokens_in_flight {held.max_tokens_in_flight}"
            )
        check_limit_raise(
            team=order.team,
            wanted=order.limit,
            current=held,
            committed=promised,
            capacity=self._capacity(),
        )
        promises = CommitmentsDocument(
            teams={**promised, order.team: order.limit}, change_id=order.change_id
        )
        limit = LimitDocument(limit=order.limit, change_id=order.change_id)
        return [
            _swap(COMMITMENTS_KEY, encode_document(promises), ledger),
            _swap(limit_key(order.team), encode_document(limit), stored),
        ]

    async def _restore_swaps(self, order: RaiseLimit) -> list[Swap]:
        team, limit = order.team, order.limit
        stored = await self._store.get(limit_key(team))
        ledger = await self._store.get(COMMITMENTS_KEY)
        document = LimitDocument(Limit()) if stored is None else _decoded(stored, LimitDocument)
        promises = (
            CommitmentsDocument() if ledger is None else _decoded(ledger, CommitmentsDocument)
        )
        swaps = []
        if promises is not None and not promises.teams.get(team, Limit()).covers(limit):
            merged = promises.teams.get(team, Limit()).merged(limit)
            restored = CommitmentsDocument(
                teams={**promises.teams, team: merged}, change_id=order.change_id
            )
            swaps.append(_swap(COMMITMENTS_KEY, encode_document(restored), ledger))
        if document is not None and not document.limit.covers(limit):
            written = LimitDocument(limit=document.limit.merged(limit), change_id=order.change_id)
            swaps.append(_swap(limit_key(team), encode_document(written), stored))
        return swaps

    def _committed_limits(self, ledger: StoredEntry | None) -> dict[str, Limit]:
        """Return what all teams were promised, from the ledger and the limits in force."""
        promised = dict(self._settings_state.limits)
        document = _decoded(ledger, CommitmentsDocument)
        if document is not None:
            for team, limit in document.teams.items():
                promised[team] = promised.get(team, Limit()).merged(limit)
        return promised

    async def _commit(
        self, swaps: list[Swap], *, team: str, change_id: str
    ) -> ChangeAccepted | None:
        """Swap all together with the change's record; ``None`` if it surely did not hold."""
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
        if outcome.held:
            self._install(swaps, outcome.revision)
            return ChangeAccepted(change_id=change_id, revision=outcome.revision)
        # The lease may be what failed; the next try takes a new one.
        self._lease_until = 0.0
        return None

    async def _resolve_lost_response(
        self, swaps: list[Swap], record: Swap, *, team: str, change_id: str
    ) -> ChangeAccepted:
        """Repeat a transaction whose answer was lost until it is known whether it held."""
        end = self._timers.now() + RESOLVE_TIMEOUT_SECONDS
        while self._timers.now() < end:
            await self._back_off()
            try:
                outcome = await self._store.swap(*swaps, record)
                if outcome.held:
                    self._install(swaps, outcome.revision)
                    return ChangeAccepted(change_id=change_id, revision=outcome.revision)
                settled = await self._recorded_outcome(team, change_id)
                return settled or await self._record_rejection(team, change_id)
            except StoreUnavailable:
                continue
        raise ChangeOutcomeUnknown(
            f"the store's answer to change {change_id} was lost",
            remedy=f"Ask GET /v1/changes/{change_id} until it tells the outcome.",
        )

    async def _record_rejection(self, team: str, change_id: str) -> ChangeAccepted:
        """Take the place of a change's record, so that a late copy of the change cannot hold."""
        record = Swap(
            key=change_key(team, change_id),
            value=encode_document(ChangeRecord(accepted=False)),
            expected_revision=0,
            lease=await self._record_lease(),
        )
        try:
            await self._store.swap(record)
        except StoreResponseLost as error:
            raise ChangeOutcomeUnknown(f"change {change_id} is not settled yet") from error
        settled = await self._recorded_outcome(team, change_id)
        if settled is None:
            self._lease_until = 0.0
            raise ChangeOutcomeUnknown(f"change {change_id} is not settled yet")
        return settled

    async def _record_lease(self) -> int:
        now = self._timers.now()
        if now >= self._lease_until:
            try:
                self._lease = await self._store.grant_lease(RECORD_TTL_SECONDS)
            except StoreResponseLost as error:
                # A lease that nobody knows lapses by itself: nothing was written.
                raise StoreUnavailable(f"the store granted no lease: {error}") from error
            self._lease_until = now + LEASE_REUSE_SECONDS
        return self._lease

    def _install(self, swaps: list[Swap], revision: int) -> None:
        # The watch will bring the same; this keeper's listeners need not wait for it.
        entries = [StoredEntry(key=s.key, value=s.value, mod_revision=revision) for s in swaps]
        self._settings_state.install(entries)

    async def _back_off(self) -> None:
        await self._timers.sleep(self._random.uniform(0.0, RETRY_MAX_SECONDS))


def _swap(key: str, value: bytes, held: StoredEntry | None) -> Swap:
    return Swap(key=key, value=value, expected_revision=held.mod_revision if held else 0)


def _decoded(entry: StoredEntry | None, kind: type[D]) -> D | None:
    """Return a stored document, or ``None`` for one that is kept out."""
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
        raise BadRequest(f"the document has {len(value)} bytes; at most {MAX_DOCUMENT_BYTES} fit")
    try:
        msgspec.json.decode(value, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadRequest(f"the document is no JSON object: {error}") from error
