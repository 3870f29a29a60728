"""Tests of the stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import time

from platform_store import StoreStandin

WAIT_SECONDS = 0.001
# Long enough that the loop can be held up past its end.
LATE_WAIT_SECONDS = 0.02


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


async def test_a_watch_that_ends_as_a_change_comes_reports_the_change() -> None:
    store = StoreStandin()
    loop = asyncio.get_running_loop()
    watch = asyncio.create_task(store.changes("", store.revision, LATE_WAIT_SECONDS))
    await asyncio.sleep(0)
    loop.call_later(LATE_WAIT_SECONDS, store.put, "members/front-1", b"{}")
    # The loop learns at once of the end of the wait and then of the change.
    loop.call_soon(time.sleep, 2 * LATE_WAIT_SECONDS)
    events = await watch
    assert events is not None
    assert [event["revision"] for event in events] == [store.revision]
