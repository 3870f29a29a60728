"""Configuration store client for etcd v3's HTTP/JSON gateway.

In that protocol, numbers are strings, and keys and values are base64. See etcd's API reference
for ``/v3/kv/range``, ``/v3/kv/txn``, ``/v3/lease/*`` and ``/v3/watch``.
"""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from typing import Any
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import StoreCompacted
from baobabpulley.errors import StoreResponseLost
from baobabpulley.errors import StoreUnavailable
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.documents import StoredEntry
from baobabpulley.ports.config_store import ConfigStore
from baobabpulley.ports.config_store import StoreSnapshot
from baobabpulley.ports.config_store import Swap
from baobabpulley.ports.config_store import SwapOutcome
from baobabpulley.ports.config_store import WatchBatch
from baobabpulley.timers import TimerService

CALL_TIMEOUT_SECONDS: Final = 2.0
WATCH_SILENCE_TIMEOUT_SECONDS: Final = 2.0


@final
class EtcdStore(ConfigStore):
    """Call etcd's gateway at one address.

    The watch requests progress notifications; it fails when no bytes arrive for
    ``silence_timeout`` model seconds.
    """

    __slots__ = ("_address", "_calls", "_client", "_silence_timeout", "_timers")

    def __init__(
        self,
        *,
        client: HttpClient,
        address: str,
        timers: TimerService,
        silence_timeout: float = WATCH_SILENCE_TIMEOUT_SECONDS,
    ) -> None:
        self._client = client
        self._address = address
        self._timers = timers
        self._silence_timeout = silence_timeout
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made so far; opening a watch counts as one."""
        return self._calls

    async def read(self, prefix: str, *, last_prefix: str | None = None) -> StoreSnapshot:
        body = {"key": _encode(prefix), "range_end": _encode(_prefix_end(last_prefix or prefix))}
        response = await self._call("/v3/kv/range", body, writes=False)
        entries = tuple(_decode_entry(item) for item in response.get("kvs", ()))
        return StoreSnapshot(revision=_revision(response), entries=entries)

    async def get(self, key: str) -> StoredEntry | None:
        response = await self._call("/v3/kv/range", {"key": _encode(key)}, writes=False)
        items = response.get("kvs", ())
        return _decode_entry(items[0]) if items else None

    async def swap(self, *swaps: Swap) -> SwapOutcome:
        body = {
            "compare": [_compare(item) for item in swaps],
            "success": [_operation(item) for item in swaps],
        }
        response = await self._call("/v3/kv/txn", body, writes=True)
        return SwapOutcome(applied=bool(response.get("succeeded")), revision=_revision(response))

    async def grant_lease(self, seconds: float) -> int:
        response = await self._call(
            "/v3/lease/grant", {"TTL": str(max(1, round(seconds)))}, writes=True
        )
        return int(response["ID"])

    async def keep_alive(self, lease: int) -> float:
        response = await self._call("/v3/lease/keepalive", {"ID": str(lease)}, writes=True)
        return float(response.get("result", {}).get("TTL", 0))

    async def revoke_lease(self, lease: int) -> None:
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, writes=True)

    async def watch(
        self, prefix: str, *, from_revision: int, last_prefix: str | None = None
    ) -> AsyncIterator[WatchBatch]:
        self._calls += 1
        create = {
            "key": _encode(prefix),
            "range_end": _encode(_prefix_end(last_prefix or prefix)),
            "start_revision": str(from_revision),
            "progress_notify": True,
        }
        try:
            async with self._client.call(
                address=self._address,
                method="POST",
                path="/v3/watch",
                body=msgspec.json.encode({"create_request": create}),
                head_timeout=self._timers.to_real_seconds(self._silence_timeout),
                fresh=True,
            ) as response:
                if response.status != 200:
                    raise StoreUnavailable(
                        f"the store refused the watch with status {response.status}"
                    )
                chunks = response.chunks(
                    idle_timeout=self._timers.to_real_seconds(self._silence_timeout)
                )
                async for line in _lines(chunks):
                    yield _decode_batch(line)
        except (UpstreamLost, UpstreamUnreachable, KeyError, *DECODE_ERRORS) as error:
            raise StoreUnavailable(f"the watch failed: {error}") from error
        raise StoreUnavailable("the store ended the watch")

    async def _call(self, path: str, body: dict[str, Any], *, writes: bool) -> dict[str, Any]:
        self._calls += 1
        try:
            status, response = await fetch(
                self._client,
                address=self._address,
                method="POST",
                path=path,
                body=msgspec.json.encode(body),
                timeout=self._timers.to_real_seconds(CALL_TIMEOUT_SECONDS),
            )
        except UpstreamUnreachable as error:
            raise StoreUnavailable(f"no connection to the store: {error}") from error
        except UpstreamLost as error:
            # Idle connections to the store may have failed for the same reason.
            self._client.drop_idle(self._address)
            raise _call_error(str(error), writes=writes) from error
        if 400 <= status < 500:
            raise StoreUnavailable(f"the store refused {path} with status {status}")
        if status != 200:
            raise _call_error(f"the store answered {path} with status {status}", writes=writes)
        try:
            document = msgspec.json.decode(response, type=dict[str, Any])
        except DECODE_ERRORS as error:
            raise _call_error(
                f"the store's response to {path} is invalid: {error}", writes=writes
            ) from error
        return document


def _call_error(message: str, *, writes: bool) -> StoreUnavailable:
    """Return the error of a failed call; a write that was sent may have taken effect."""
    return StoreResponseLost(message) if writes else StoreUnavailable(message)


def _encode(text: str) -> str:
    return base64.b64encode(text.encode("utf-8", "surrogateescape")).decode()


def _prefix_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _revision(response: dict[str, Any]) -> int:
    return int(response["header"]["revision"])


def _decode_entry(item: dict[str, Any], *, deleted: bool = False) -> StoredEntry:
    return StoredEntry(
        # Keys that aren't UTF-8 belong to other programs; decoding one must not end the watch.
        key=base64.b64decode(item["key"]).decode(errors="backslashreplace"),
        value=None if deleted else base64.b64decode(item.get("value", "")),
        mod_revision=int(item["mod_revision"]),
        create_revision=int(item.get("create_revision", 0)),
        lease=int(item.get("lease", 0)),
    )


def _compare(swap: Swap) -> dict[str, str]:
    return {
        "key": _encode(swap.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(swap.expected_revision),
    }


def _operation(swap: Swap) -> dict[str, Any]:
    if swap.value is None:
        return {"request_delete_range": {"key": _encode(swap.key)}}
    put: dict[str, str] = {
        "key": _encode(swap.key),
        "value": base64.b64encode(swap.value).decode(),
    }
    if swap.lease:
        put["lease"] = str(swap.lease)
    return {"request_put": put}


async def _lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    buffered = b""
    async for chunk in chunks:
        buffered += chunk
        *lines, buffered = buffered.split(b"\n")
        for line in lines:
            if line.strip():
                yield line


def _decode_batch(line: bytes) -> WatchBatch:
    result = msgspec.json.decode(line, type=dict[str, Any])["result"]
    if result.get("compact_revision"):
        raise StoreCompacted(
            f"the store has compacted revisions before {result['compact_revision']}"
        )
    if result.get("canceled"):
        raise StoreUnavailable("the store cancelled the watch")
    if result.get("created"):
        # The header's revision may be newer than events that this watch has yet to deliver.
        return WatchBatch(revision=0, entries=())
    entries = tuple(
        _decode_entry(event["kv"], deleted=event.get("type") == "DELETE")
        for event in result.get("events", ())
    )
    if entries:
        return WatchBatch(revision=max(entry.mod_revision for entry in entries), entries=entries)
    return WatchBatch(revision=_revision(result), entries=())
