"""Tests of the stand-in of the platform's store."""

from __future__ import annotations

import asyncio
import time

from platform_store import StoreStandin

WAIT_SECONDS = 0.02


async def test_a_watch_that_ends_as_a_change_comes_reports_the_change() -> None:
    store = StoreStandin()
    loop = asyncio.get_running_loop()
    watch = asyncio.create_task(store.changes("", store.revision, WAIT_SECONDS))
    await asyncio.sleep(0)
    loop.call_later(WAIT_SECONDS, store.put, "members/front-1", b"{}")
    # The loop learns at once of the end of the wait and then of the change.
    loop.call_soon(time.sleep, 2 * WAIT_SECONDS)
    events = await watch
    assert events is not None
    assert [event["revision"] for event in events] == [store.revision]
