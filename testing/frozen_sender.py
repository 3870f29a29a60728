"""A process that sends one order and stops itself between the last lease check and the body.

It sends itself SIGSTOP within the check. After SIGCONT the check still returns the remaining time
from before the stop, so the check alone does not keep the body back.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_engine import HttpEngine
from baobabpulley.errors import UpstreamLost
from baobabpulley.model.upstreams import Upstream
from baobabpulley.ports.engine import Order
from baobabpulley.timers import TimerService

FREEZE_AT_CHECK = 2


async def send_order(address: str, remaining: float) -> None:
    """Send the order; each lease check returns ``remaining`` seconds of lease time."""
    adapter = HttpEngine(client=HttpClient(), timers=TimerService())
    upstream = Upstream(id="engine-0", service="kitchen", failure_domain="fes", address=address)
    order = Order(id="7.1", kind="load", model="recipes", version="1", fence=7)
    checks = 0

    def check() -> float:
        nonlocal checks
        checks += 1
        if checks == FREEZE_AT_CHECK:
            os.kill(os.getpid(), signal.SIGSTOP)
            time.sleep(0.05)
        return remaining

    try:
        await adapter.order(upstream, order, guard=check, window=5.0)
    except UpstreamLost:
        return


if __name__ == "__main__":
    asyncio.run(send_order(sys.argv[1], float(sys.argv[2])))
