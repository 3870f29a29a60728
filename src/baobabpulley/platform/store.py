"""`ConfigStore` on the platform's key-value store: HTTP/1.1, JSON bodies, base64 values.

All revisions that it takes and returns are ordered ones, see `baobabpulley.model.revisions`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final
from typing import TypeVar
from typing import final
from urllib.parse import urlencode

import msgspec
from loguru import logger

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch_response
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import era_of
from baobabpulley.model.revisions import number_of
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.platform import names
from baobabpulley.ports.config_store import MemberStore
from baobabpulley.ports.config_store import StoreSnapshot
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.ports.config_store import WatchBatch
from baobabpulley.timers import boot_seconds

# In addition to the time for which the store may delay the response to a watch call.
_RESPONSE_TIMEOUT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000
# Of an item that can't be decoded.
_LOGGED_BYTES: Final = 80
# A number with more digits is no era.
_MAX_ERA_DIGITS: Final = 6

T = TypeVar("T")


class _Item(msgspec.Struct):
    """A key's state or change; ``tombstone`` says that it was deleted at ``revision``."""

    key: str
    revision: int
    value: bytes = b""
    tombstone: bool = False


class _Presence(msgspec.Struct):
    """An item without its value, for keys whose presence is all that counts."""

    key: str
    revision: int
    tombstone: bool = False


class _Page(msgspec.Struct, rename="kebab"):
    """One page of a range read.

    ``at`` is the store's revision; ``has_more`` says that there are more pages.
    """

    at: int
    items: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False


class _Changes(msgspec.Struct):
    at: int
    events: tuple[msgspec.Raw, ...] = ()


class _Expectation(msgspec.Struct):
    key: str
    revision: int


class _Put(msgspec.Struct):
    key: str
    value: bytes
    lease: int


class _Transaction(msgspec.Struct):
    expected: tuple[_Expectation, ...]
    puts: tuple[_Put, ...]
    remove: tuple[str, ...]


class _Revision(msgspec.Struct):
    revision: int = 0


class _Lease(msgspec.Struct, rename="kebab"):
    lease: int = 0
    ttl_ms: int = 0


class _LeaseRequest(msgspec.Struct, rename="kebab"):
    ttl_ms: int


class _Answer(msgspec.Struct, frozen=True):
    """An answer of the store, and the era in which it was given."""

    status: int
    body: bytes
    era: int


@final
class PlatformStore(MemberStore):
    """Client of the store; ``watch_wait`` is the maximum wait of one watch call in seconds."""

    __slots__ = ("_address", "_calls", "_client", "_era", "_number", "_states_era", "_watch_wait")

    def __init__(self, *, client: HttpClient, address: str, watch_wait: float) -> None:
        self._client = client
        self._address = address
        self._watch_wait = watch_wait
        self._calls = 0
        self._era = 0
        # Highest revision number that the store has answered with in this era.
        self._number = 0
        self._states_era = False

    @property
    def era(self) -> int:
        """Latest era of the store, 0 before the first return that is known of."""
        return self._era

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._calls

    def adopt_era(self, era: int) -> None:
        if era > self._era:
            self._record_era(era)

    async def read(self, prefix: str, *, last_prefix: str | None = None) -> StoreSnapshot:
        del last_prefix
        entries: list[StoredEntry] = []
        first: int | None = None
        after = ""
        while True:
            query = {"path-prefix": prefix, **({"after": after} if after else {})}
            number = self._number
            answer = await self._get(f"{names.STORE_RANGE}?{urlencode(query)}")
            page = _decode(answer.body, _Page)
            era = self._era_at(page.at, answer, asked_at=number)
            # Pages may differ in revision, so a watch has to start at the first page's.
            first = ordered_revision(page.at, era=era) if first is None else first
            if era != era_of(first):
                raise StoreCompacted("the store came back from a copy while it was read")
            readable = _readable_entries(page.items, era=era)
            entries += readable
            if not page.has_more or not page.items:
                return StoreSnapshot(revision=first, entries=tuple(entries))
            if not readable:
                raise StoreUnavailable("a page of the store holds no item that can be decoded")
            after = readable[-1].key

    async def get(self, key: str) -> StoredEntry | None:
        path = f"{names.STORE_KEY}?{urlencode({'key': key})}"
        answer = await self._call("GET", path)
        if answer.status == 404:
            return None
        return _entry(_decode(_require_ok(answer), _Item), era=answer.era)

    async def swap(self, *swaps: Swap) -> SwapOutcome:
        expected = [swap.expected_revision for swap in swaps if swap.expected_revision]
        if any(era_of(revision) != self._era for revision in expected):
            # The store may have given out the same number again for another change.
            return SwapOutcome(applied=False, revision=0)
        transaction = _Transaction(
            expected=tuple(
                _Expectation(swap.key, number_of(swap.expected_revision)) for swap in swaps
            ),
            puts=tuple(
                _Put(swap.key, swap.value, swap.lease) for swap in swaps if swap.value is not None
            ),
            remove=tuple(swap.key for swap in swaps if swap.value is None),
        )
        answer = await self._call("POST", names.STORE_TXN, transaction, writes=True)
        if answer.status == 412:
            return SwapOutcome(applied=False, revision=0)
        number = _decode(_require_ok(answer), _Revision).revision
        return SwapOutcome(applied=True, revision=ordered_revision(number, era=answer.era))

    async def put(self, key: str, value: bytes, *, lease: int) -> None:
        """Write a key unconditionally; raise `StoreUnavailable` or `StoreResponseLost`."""
        transaction = _Transaction(expected=(), puts=(_Put(key, value, lease),), remove=())
        _require_ok(await self._call("POST", names.STORE_TXN, transaction, writes=True))

    async def grant_lease(self, seconds: float) -> int:
        request = _LeaseRequest(ttl_ms=round(seconds * _MS_PER_SECOND))
        answer = await self._call("POST", names.STORE_LEASE, request, writes=True)
        return _decode(_require_ok(answer), _Lease).lease

    async def keep_alive(self, lease: int) -> float:
        answer = await self._call("POST", f"{names.STORE_KEEP_ALIVE}{lease}")
        if answer.status == 404:
            return 0.0
        return _decode(_require_ok(answer), _Lease).ttl_ms / _MS_PER_SECOND

    async def revoke_lease(self, lease: int) -> None:
        answer = await self._call("DELETE", f"{names.STORE_LEASE_END}{lease}", writes=True)
        if answer.status != 404:
            _require_ok(answer)

    async def watch(
        self, prefix: str, *, from_revision: int, last_prefix: str | None = None
    ) -> AsyncIterator[WatchBatch]:
        del last_prefix
        after = from_revision
        self.adopt_era(era_of(after))
        while True:
            number = self._number
            query = {
                "path-prefix": prefix,
                "after": number_of(after),
                "wait-ms": round(self._watch_wait * _MS_PER_SECOND),
            }
            path = f"{names.STORE_WATCH}?{urlencode(query)}"
            asked_at = boot_seconds()
            answer = await self._get(path, wait_seconds=self._watch_wait)
            changes = _decode(answer.body, _Changes)
            era = self._era_at(changes.at, answer, asked_at=number)
            if era != era_of(after):
                raise StoreCompacted("the store came back from a copy since it was read")
            after = max(after, ordered_revision(changes.at, era=era))
            # Without changes, the store answers only when the wait is over.
            waited = 0.0 if changes.events else self._watch_wait
            yield WatchBatch(
                revision=after,
                entries=tuple(_readable_entries(changes.events, era=era)),
                age=max(0.0, boot_seconds() - asked_at - waited),
            )

    async def _get(self, path: str, *, wait_seconds: float = 0.0) -> _Answer:
        answer = await self._call("GET", path, wait_seconds=wait_seconds)
        if answer.status == 410:
            raise StoreCompacted(
                "the store doesn't have the requested history; read all keys again"
            )
        _require_ok(answer)
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        message: msgspec.Struct | None = None,
        *,
        writes: bool = False,
        wait_seconds: float = 0.0,
    ) -> _Answer:
        self._calls += 1
        body = b"" if message is None else msgspec.json.encode(message)
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = await fetch_response(
                self._client,
                address=self._address,
                method=method,
                path=path,
                body=body,
                headers=headers,
                timeout=_RESPONSE_TIMEOUT_SECONDS + wait_seconds,
            )
        except UpstreamUnreachable as error:
            raise StoreUnavailable(f"cannot reach the store: {error.message}") from error
        except UpstreamLost as error:
            # Other idle connections may be dead as well; a call on one of them would also fail.
            self._client.drop_idle(self._address)
            kind = StoreResponseLost if writes else StoreUnavailable
            raise kind(f"the store did not answer: {error.message}") from error
        stated = _parse_era(response.headers.get(names.STORE_ERA))
        if stated is not None and stated < self._era:
            kind = StoreResponseLost if writes else StoreUnavailable
            raise kind(f"the store answered in era {stated}, which ended before era {self._era}")
        if stated is not None:
            self._states_era = True
            self._record_era(stated)
        return _Answer(status=response.status, body=response.body, era=self._era)

    def _era_at(self, number: int, answer: _Answer, *, asked_at: int) -> int:
        """Return the era of an answer with a revision number; without a stated one, infer it.

        The number that was known when the store was asked can't be above that of its answer, unless
        the store came back from a copy.
        """
        if not self._states_era and answer.era == self._era and number < asked_at <= self._number:
            self._record_era(self._era + 1)
        self._number = max(self._number, number)
        return answer.era if self._states_era else self._era

    def _record_era(self, era: int) -> None:
        if era == self._era:
            return
        previous, self._era, self._number = self._era, era, 0
        logger.bind(event="store_era", previous=previous, era=era).warning(
            "the store answers in a new era: it may have come back from an older copy"
        )


def _parse_era(text: str | None) -> int | None:
    """Return the era that a header states, or ``None`` if it states none that can be read.

    >>> _parse_era("3"), _parse_era("-1"), _parse_era("9" * 30), _parse_era(None)
    (3, None, None, None)
    """
    text = (text or "").strip()
    return int(text) if text.isdecimal() and len(text) <= _MAX_ERA_DIGITS else None


def _require_ok(answer: _Answer) -> bytes:
    if answer.status != 200:
        raise StoreUnavailable(
            f"the store answered with status {answer.status}: {answer.body[:80]!r}"
        )
    return answer.body


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise StoreUnavailable(f"the store's response is invalid: {error}") from error


def _readable_entries(items: tuple[msgspec.Raw, ...], *, era: int) -> list[StoredEntry]:
    """Return the items that can be decoded, so that an odd one keeps no other from use."""
    entries = []
    for item in items:
        try:
            entries.append(_entry(msgspec.json.decode(item, type=_Item), era=era))
        except DECODE_ERRORS as error:
            entry = _entry_without_value(item, era=era)
            if entry is not None:
                entries.append(entry)
                continue
            start = bytes(item)[:_LOGGED_BYTES].decode("utf-8", "replace")
            logger.bind(event="bad_item", start=start).warning(
                "left out an item of the store that can't be decoded: {}", error
            )
    return entries


def _entry_without_value(item: msgspec.Raw, *, era: int) -> StoredEntry | None:
    """Return an item whose value can't be decoded if its key's presence is all that counts."""
    try:
        presence = msgspec.json.decode(item, type=_Presence)
    except DECODE_ERRORS:
        return None
    if not presence.key.startswith(names.EVACUATION_PREFIX):
        return None
    value = None if presence.tombstone else b""
    revision = ordered_revision(presence.revision, era=era)
    return StoredEntry(key=presence.key, value=value, mod_revision=revision)


def _entry(item: _Item, *, era: int) -> StoredEntry:
    value = None if item.tombstone else item.value
    revision = ordered_revision(item.revision, era=era)
    return StoredEntry(key=item.key, value=value, mod_revision=revision)
