"""Tests of the stand-in of the platform's store."""

from __future__ import annotations

import asyncio

from platform_store import StoreStandin

WAIT_SECONDS = 0.001


async def test_a_change_just_as_a_watch_ends_is_reported_or_not_yet_counted() -> None:
    loop = asyncio.get_running_loop()
    for number in range(100):
        store = StoreStandin()
        after = store.put("members/front-1", b"{}")

        async def watch(store: StoreStandin = store, after: int = after) -> bool:
            events = await store.changes("", after, WAIT_SECONDS)
            return bool(events) == (store.revision > after)

        answer = asyncio.create_task(watch())
        await asyncio.sleep(0)
        loop.call_later(WAIT_SECONDS + number * 1e-6, store.put, "members/front-2", b"{}")
        assert await answer
