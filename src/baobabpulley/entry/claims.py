"""Calls that run at most once per idempotency key, claimed in the configuration store.

A claim is created only if the key is absent, before the call is sent. Claims of concurrent calls
share transactions. They are attached to leases that are never renewed, so that the store itself
removes them after the retention period.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from hashlib import sha256
from typing import Final
from typing import final

import msgspec
from loguru import logger

from baobabpulley.entry.claim_writer import ClaimWriter
from baobabpulley.errors import BadRequest
from baobabpulley.errors import BaobabError
from baobabpulley.errors import CallMismatch
from baobabpulley.errors import InvalidDocument
from baobabpulley.errors import OutcomeUnknown
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.model.calls import ClaimDocument
from baobabpulley.model.calls import PlainCall
from baobabpulley.model.documents import CLAIMS_PREFIX
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import decode_document
from baobabpulley.model.documents import encode_document
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.plain_service import ServiceResponse
from baobabpulley.settings import Address
from baobabpulley.settings import Count
from baobabpulley.settings import Seconds
from baobabpulley.settings import section
from baobabpulley.timers import TimerService

IDEMPOTENCY_HEADER: Final = "Idempotency-Key"
MAX_KEY_CHARS: Final = 256
MAX_STORED_RESPONSE_BYTES: Final = 65_536
MAX_RETRY_DELAY_SECONDS: Final = 10.0
TICKET_REMEDY: Final = "Retry when the store is back, or use a call ticket (POST /v1/tickets)."


@section("claims", "entry")
class ClaimsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retention and timing of claims (model seconds).

    ``store`` is the configuration store's address; without it, calls with a key are refused.
    ``retention`` is how long a key is kept, ``gather`` how long a claim waits for others to share
    its transaction, ``wait`` how long a retried call waits for the first call's outcome.
    """

    store: Address | None = None
    retention: Seconds = 86_400.0
    gather: Seconds = 0.002
    max_batch: Count = 32
    wait: Seconds = 12.0
    poll: Seconds = 0.5
    read_back_tries: Count = 4


class _CreatedClaim(msgspec.Struct):
    """A claim that this entry created, and the store revision at which it did."""

    claim_id: str
    revision: int


RunOnce = Callable[[PlainCall], Awaitable[ServiceResponse]]


@final
class Claims:
    """Run at most one call for each idempotency key of a team."""

    __slots__ = (
        "_entry",
        "_owner",
        "_run_once",
        "_section",
        "_store",
        "_tasks",
        "_timers",
        "_writer",
    )

    def __init__(
        self,
        *,
        entry: str,
        owner: str,
        store: ConfigStore,
        section: ClaimsSection,
        run_once: RunOnce,
        timers: TimerService,
    ) -> None:
        self._entry = entry
        self._owner = owner
        self._store = store
        self._section = section
        self._run_once = run_once
        self._timers = timers
        self._writer = ClaimWriter(
            store=store,
            timers=timers,
            retention=section.retention,
            gather=section.gather,
            max_batch=section.max_batch,
        )
        self._tasks: dict[str, asyncio.Task[ServiceResponse]] = {}

    @property
    def running(self) -> int:
        """Number of claimed calls without an outcome; their callers may have disconnected."""
        return len(self._tasks)

    async def run(self, key: str, call: PlainCall) -> ServiceResponse:
        """Return the outcome of the first call with the key; run the call if it is the first.

        Raises `StoreUnavailable` if the claim could not be made (the call did not run),
        `CallMismatch` if the key was used for a different call, `OutcomeUnknown` if the first
        call has no recorded outcome.
        """
        if not key.isprintable() or len(key) > MAX_KEY_CHARS:
            raise BadRequest(
                f"{IDEMPOTENCY_HEADER} must be at most {MAX_KEY_CHARS} printable characters"
            )
        path = claim_key(call.team, key)
        claim_id = secrets.token_hex(12)
        created = await self._claim(path, claim_id, call)
        if created is None:
            return await self._await_outcome(path, call)
        task = asyncio.get_running_loop().create_task(
            self._run_claimed(path, created, call), name=f"{self._owner} claim {claim_id}"
        )
        self._tasks[claim_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(claim_id, None))
        return await self._await_task(task)

    async def _await_task(self, task: asyncio.Task[ServiceResponse]) -> ServiceResponse:
        try:
            async with self._timers.timeout(self._section.wait):
                return await asyncio.shield(task)
        except TimeoutError:
            raise _outcome_pending() from None

    async def _claim(self, path: str, claim_id: str, call: PlainCall) -> _CreatedClaim | None:
        """Claim a key; return ``None`` if another call has claimed it."""
        document = ClaimDocument(
            claim_id=claim_id, entry=self._entry, fingerprint=call.fingerprint, state="claimed"
        )
        for _ in range(self._section.read_back_tries):
            try:
                outcome = await self._writer.create(path, encode_document(document))
                if outcome.applied:
                    return _CreatedClaim(claim_id, outcome.revision)
            except StoreResponseLost:
                # The claim may have taken effect; the read below shows it.
                pass
            except StoreUnavailable as error:
                self._release_soon(path, claim_id)
                raise StoreUnavailable(error.message, remedy=TICKET_REMEDY) from error
            entry = await self._read_back(path, claim_id)
            if entry is not None:
                stored_document = decode_document(entry, ClaimDocument)
                if stored_document.claim_id != claim_id:
                    return None
                return _CreatedClaim(claim_id, entry.mod_revision)
            self._writer.forget_lease()
        self._release_soon(path, claim_id)
        raise StoreUnavailable(
            "the key could not be claimed in the configuration store", remedy=TICKET_REMEDY
        )

    async def _read_back(self, path: str, claim_id: str) -> StoredEntry | None:
        try:
            return await self._store.get(path)
        except StoreUnavailable as error:
            self._release_soon(path, claim_id)
            raise StoreUnavailable(
                "the configuration store did not report whether the key is claimed",
                remedy=TICKET_REMEDY,
            ) from error

    async def _run_claimed(
        self, path: str, created: _CreatedClaim, call: PlainCall
    ) -> ServiceResponse:
        try:
            response = await self._run_once(call)
        except BaobabError as error:
            if error.ran is False:
                self._release_soon(path, created.claim_id)
            else:
                self._write_outcome_soon(path, created, call, "unknown", None)
            raise
        self._write_outcome_soon(path, created, call, "done", response)
        return response

    async def _await_outcome(self, path: str, call: PlainCall) -> ServiceResponse:
        give_up_at = self._timers.now() + self._section.wait
        while True:
            try:
                document = await self._read_claim(path)
            except StoreUnavailable as error:
                # The store may only have paused; the call runs elsewhere meanwhile.
                if self._timers.now() >= give_up_at:
                    raise _claim_unreadable(error) from error
                await self._timers.sleep(self._section.poll)
                continue
            if document is None:
                raise OutcomeUnknown("the claim on the key was released; retry the call")
            if document.fingerprint != call.fingerprint:
                raise CallMismatch("the idempotency key was used for a different call before")
            if document.state == "done" and document.answer is not None:
                return document.answer
            if document.state != "claimed":
                raise OutcomeUnknown("the outcome of the first call with this key is unknown")
            if self._timers.now() >= give_up_at:
                raise _outcome_pending()
            await self._timers.sleep(self._section.poll)

    async def _read_claim(self, path: str) -> ClaimDocument | None:
        entry = await self._store.get(path)
        try:
            return None if entry is None else decode_document(entry, ClaimDocument)
        except InvalidDocument as error:
            raise _claim_unreadable(error) from error

    def _write_outcome_soon(
        self,
        path: str,
        created: _CreatedClaim,
        call: PlainCall,
        state: str,
        response: ServiceResponse | None,
    ) -> None:
        if response is not None and len(response.body) > MAX_STORED_RESPONSE_BYTES:
            state, response = "unknown", None
        document = ClaimDocument(
            claim_id=created.claim_id,
            entry=self._entry,
            fingerprint=call.fingerprint,
            state=state,
            answer=response,
        )
        value = encode_document(document)
        self._retry_soon(
            lambda: self._writer.replace(path, value, expected=created.revision), "outcome"
        )

    def _release_soon(self, path: str, claim_id: str) -> None:
        """Release a claim whose call was not sent, retrying until the store is available."""

        async def release() -> None:
            entry = await self._store.get(path)
            if entry is None or decode_document(entry, ClaimDocument).claim_id != claim_id:
                return
            swap = Swap(key=path, value=None, expected_revision=entry.mod_revision)
            await self._store.swap(swap)

        self._retry_soon(release, "give-back")

    def _retry_soon(self, work: Callable[[], Awaitable[object]], name: str) -> None:
        async def retry_until_done() -> None:
            delay = self._section.poll
            give_up_at = self._timers.now() + self._section.retention
            while self._timers.now() < give_up_at:
                with contextlib.suppress(StoreUnavailable, InvalidDocument):
                    await work()
                    return
                await self._timers.sleep(delay)
                delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)
            logger.error("claim update {} could not be written within the retention period", name)

        self._timers.after(0.0, retry_until_done, name=name)


def claim_key(team: str, key: str) -> str:
    """Return the store key of the claim on an idempotency key.

    >>> claim_key("souk", "order-7").startswith("/baobab/claims/souk/")
    True
    """
    return f"{CLAIMS_PREFIX}{team}/{sha256(key.encode()).hexdigest()}"


def _claim_unreadable(error: BaobabError) -> OutcomeUnknown:
    return OutcomeUnknown(f"the claim on the key could not be read: {error.message}")


def _outcome_pending() -> OutcomeUnknown:
    return OutcomeUnknown(
        "the call with this key has no outcome yet", remedy="Retry with the same key."
    )
