"""Once-only calls under the caller's own key, claimed in the configuration store.

A claim is created only if the key is absent, before anything is sent. Claims of concurrent calls
share transactions. They hang on leases that are never renewed, so that the store drops them
after the retention without anybody's doing.
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
MAX_STORED_ANSWER: Final = 65_536
MAX_RETRY_DELAY: Final = 10.0
TICKET_REMEDY: Final = "Repeat it when the store is back, or use a call ticket (POST /v1/tickets)."


@section("claims", "entry")
class ClaimsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How claims are kept (model seconds).

    ``store`` is the configuration store's address; without it keys are refused. ``retention`` is
    how long a key is remembered, ``gather`` how long claims wait for others to share a
    transaction, ``wait`` how long a repeat waits for the first call's outcome.
    """

    store: Address | None = None
    retention: Seconds = 86_400.0
    gather: Seconds = 0.002
    max_batch: Count = 32
    wait: Seconds = 12.0
    poll: Seconds = 0.5
    read_back_tries: Count = 4


class _Held(msgspec.Struct):
    claim_id: str
    revision: int


RunOnce = Callable[[PlainCall], Awaitable[ServiceResponse]]


@final
class Claims:
    """Run calls once for each key of a team."""

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
        """Claimed calls without an outcome, whose caller may have gone away."""
        return len(self._tasks)

    async def run(self, key: str, call: PlainCall) -> ServiceResponse:
        """Return the outcome of the key's first call.

        Raises `StoreUnavailable` if the claim could not be made (the call did not run),
        `CallMismatch` if the key was used for another call, `OutcomeUnknown` if the claimant
        never said how it ended.
        """
        if not key.isprintable() or len(key) > MAX_KEY_CHARS:
            raise BadRequest(f"{IDEMPOTENCY_HEADER} is over {MAX_KEY_CHARS} printable characters")
        path = claim_key(call.team, key)
        claim_id = secrets.token_hex(12)
        held = await self._claim(path, claim_id, call)
        if held is None:
            return await self._await_outcome(path, call)
        task = asyncio.get_running_loop().create_task(
            self._run_claimed(path, held, call), name=f"{self._owner} claim {claim_id}"
        )
        self._tasks[claim_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(claim_id, None))
        return await self._bounded(task)

    async def _bounded(self, task: asyncio.Task[ServiceResponse]) -> ServiceResponse:
        try:
            async with self._timers.timeout(self._section.wait):
                return await asyncio.shield(task)
        except TimeoutError:
            raise _pending() from None

    async def _claim(self, path: str, claim_id: str, call: PlainCall) -> _Held | None:
        """Claim a key; return ``None`` if it is another call's."""
        document = ClaimDocument(
            claim_id=claim_id, entry=self._entry, fingerprint=call.fingerprint, state="claimed"
        )
        for _ in range(self._section.read_back_tries):
            try:
                outcome = await self._writer.create(path, encode_document(document))
                if outcome.held:
                    return _Held(claim_id, outcome.revision)
            except StoreResponseLost:
                # Whether the claim took effect shows only in the store.
                pass
            except StoreUnavailable as error:
                self._clean_up_soon(path, claim_id)
                raise StoreUnavailable(error.message, remedy=TICKET_REMEDY) from error
            found = await self._read_back(path, claim_id)
            if found is not None:
                document_there = decode_document(found, ClaimDocument)
                if document_there.claim_id != claim_id:
                    return None
                return _Held(claim_id, found.mod_revision)
            self._writer.forget_lease()
        self._clean_up_soon(path, claim_id)
        raise StoreUnavailable("the claim could not be made", remedy=TICKET_REMEDY)

    async def _read_back(self, path: str, claim_id: str) -> StoredEntry | None:
        try:
            return await self._store.get(path)
        except StoreUnavailable as error:
            self._clean_up_soon(path, claim_id)
            raise StoreUnavailable(
                "whether the key is claimed cannot be read", remedy=TICKET_REMEDY
            ) from error

    async def _run_claimed(self, path: str, held: _Held, call: PlainCall) -> ServiceResponse:
        try:
            answer = await self._run_once(call)
        except BaobabError as error:
            if error.ran is False:
                self._clean_up_soon(path, held.claim_id)
            else:
                self._write_outcome_soon(path, held, call, "unknown", None)
            raise
        self._write_outcome_soon(path, held, call, "done", answer)
        return answer

    async def _await_outcome(self, path: str, call: PlainCall) -> ServiceResponse:
        ends = self._timers.now() + self._section.wait
        while True:
            document = await self._read_claim(path)
            if document is None:
                raise OutcomeUnknown("the key's claim has just been given back; repeat the call")
            if document.fingerprint != call.fingerprint:
                raise CallMismatch("the idempotency key was used before for another call")
            if document.state == "done" and document.answer is not None:
                return document.answer
            if document.state != "claimed":
                raise OutcomeUnknown("the key's first call has no known outcome")
            if self._timers.now() >= ends:
                raise _pending()
            await self._timers.sleep(self._section.poll)

    async def _read_claim(self, path: str) -> ClaimDocument | None:
        try:
            found = await self._store.get(path)
            return None if found is None else decode_document(found, ClaimDocument)
        except (StoreUnavailable, InvalidDocument) as error:
            raise OutcomeUnknown(f"the key's first call cannot be read: {error.message}") from error

    def _write_outcome_soon(
        self, path: str, held: _Held, call: PlainCall, state: str, answer: ServiceResponse | None
    ) -> None:
        if answer is not None and len(answer.body) > MAX_STORED_ANSWER:
            state, answer = "unknown", None
        document = ClaimDocument(
            claim_id=held.claim_id,
            entry=self._entry,
            fingerprint=call.fingerprint,
            state=state,
            answer=answer,
        )
        value = encode_document(document)
        self._retry_soon(
            lambda: self._writer.replace(path, value, expected=held.revision), "outcome"
        )

    def _clean_up_soon(self, path: str, claim_id: str) -> None:
        """Give a claim back under which nothing was sent, once the store answers."""

        async def give_back() -> None:
            found = await self._store.get(path)
            if found is None or decode_document(found, ClaimDocument).claim_id != claim_id:
                return
            swap = Swap(key=path, value=None, expected_revision=found.mod_revision)
            await self._store.swap(swap)

        self._retry_soon(give_back, "give-back")

    def _retry_soon(self, work: Callable[[], Awaitable[object]], name: str) -> None:
        async def until_done() -> None:
            delay = self._section.poll
            ends = self._timers.now() + self._section.retention
            while self._timers.now() < ends:
                with contextlib.suppress(StoreUnavailable, InvalidDocument):
                    await work()
                    return
                await self._timers.sleep(delay)
                delay = min(delay * 2, MAX_RETRY_DELAY)
            logger.error("a claim's {} was not written within its retention", name)

        self._timers.after(0.0, until_done, name=name)


def claim_key(team: str, key: str) -> str:
    """Return the store's key for a caller's own key.

    >>> claim_key("souk", "order-7").startswith("/baobab/claims/souk/")
    True
    """
    return f"{CLAIMS_PREFIX}{team}/{sha256(key.encode()).hexdigest()}"


def _pending() -> OutcomeUnknown:
    return OutcomeUnknown(
        "the key's call has no outcome yet", remedy="Repeat it with the same key."
    )
