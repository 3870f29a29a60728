"""The callers' listener by itself."""

from __future__ import annotations

import asyncio

from gateway_builders import read_reply
from gateway_builders import request_bytes
from tornado.httputil import HTTPHeaders
from tornado.testing import bind_unused_port

from baobabpulley.gateway.listener import CallerListener
from baobabpulley.gateway.replies import Reply
from baobabpulley.model.exchanges import Incoming
from baobabpulley.model.routes import RequestBounds
from baobabpulley.timers import TimerService


async def test_a_request_counts_while_the_one_before_it_still_cleans_up() -> None:
    second_runs, second_may_end = asyncio.Event(), asyncio.Event()
    first_ended = asyncio.Event()

    async def handler(incoming: Incoming, reply: Reply) -> None:
        if incoming.target == "/1":
            reply.send(200, HTTPHeaders(), b"one")
            await second_runs.wait()
            first_ended.set()
            return
        second_runs.set()
        await second_may_end.wait()
        reply.send(200, HTTPHeaders(), b"two")

    listener = CallerListener(handler=handler, bounds=RequestBounds, timers=TimerService())
    socket, port = bind_unused_port()
    listener.add_socket(socket)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request_bytes("/1"))
    assert (await read_reply(reader)).body == b"one"
    writer.write(request_bytes("/2"))
    await first_ended.wait()
    await asyncio.sleep(0)
    assert listener.busy == 1
    listener.close_idle()
    second_may_end.set()
    assert (await read_reply(reader)).body == b"two"
    listener.close_all()
    listener.stop()
