"""A stand-in of the platform's servers, over raw sockets so that it can send faulty responses."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

from baobabpulley.platform import names

Behaviour = Callable[["UpstreamStandin", "Call"], Awaitable[None]]


@final
class Call:
    """A received request, when it arrived, and the connection to respond on."""

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream: UpstreamStandin,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer
        self.upstream = upstream
        self.received_at = time.monotonic()

    @property
    def attempt(self) -> str:
        return self.headers.get(names.ATTEMPT.lower(), "")

    def head(
        self, status: int, *extra: str, length: int | None = None, version: str = "1.1"
    ) -> bytes:
        """Return a response head with the attempt's id and the ``extra`` header lines."""
        always = self.upstream.response_headers
        lines = [
            f"HTTP/{version} {status} Answer",
            f"{names.ATTEMPT}: {self.attempt}",
            *extra,
            *always,
        ]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def sealed(self, body: bytes, status: int = 200) -> bytes:
        """Return a complete response with a seal."""
        return self.head(status, f"{names.SEAL}: s.{self.attempt}", length=len(body)) + body

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    async def write_chunk(self, data: bytes) -> None:
        await self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def close(self) -> None:
        """Close the connection in order, after everything that was written."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        transport = self.writer.transport
        plain = transport.get_extra_info("socket")
        if plain is not None and plain.fileno() >= 0:
            # With a linger time of zero, closing sends RST instead of FIN.
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


@final
class UpstreamStandin:
    """One server.

    ``behaviour`` responds to requests. ``arrivals`` lists the attempts received, ``journal`` those
    executed, and ``orders`` the orders received; without ``frames_orders`` their answers have no
    length. The first order waits for ``first_order_pause_seconds``. Without ``reads_bodies`` it
    responds to the head of a request, and only ``behaviour`` reads on from that connection.
    ``response_headers`` are header lines of all responses. ``late_answer`` is sent before the next
    answer on a connection that has been used before. ``connections`` counts accepted connections,
    and ``early_closes`` requests whose caller closed or sent more before the response was complete.
    """

    def __init__(self, name: str, *, service: str, zone: str = "fes", slots: int = 8) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.behaviour: Behaviour = answer_complete
        self.arrivals: list[Call] = []
        self.journal: list[Call] = []
        self.response_headers: list[str] = []
        self.orders: list[dict[str, object]] = []
        self.order_status = 200
        self.order_delay_seconds = 0.0
        self.first_order_pause_seconds = 0.0
        self.frames_orders = True
        self.reads_bodies = True
        self.late_answer = b""
        self.connections = 0
        self.early_closes = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        assert self._server is not None
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def entry(self, *, state: str = names.STATE_READY, **changes: object) -> bytes:
        """Return the store entry in which the server registers itself."""
        document: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "sequence": 1,
        }
        return json.dumps({**document, **changes}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        is_used = False
        try:
            while (call := await _read_call(self, reader, writer)) is not None:
                if is_used:
                    late_answer, self.late_answer = self.late_answer, b""
                    await call.write(late_answer)
                is_used = True
                if not self.reads_bodies:
                    self.journal.append(call)
                    await self.behaviour(self, call)
                    if writer.is_closing():
                        return
                    continue
                await self._answer(call, reader)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, call: Call, reader: asyncio.StreamReader) -> None:
        if call.target == names.ORDER:
            pause = 0.0 if self.orders else self.first_order_pause_seconds
            self.orders.append(json.loads(call.body))
            await asyncio.sleep(pause + self.order_delay_seconds)
            if self.frames_orders:
                await call.write(call.head(self.order_status, length=0))
            else:
                await unframed(b"{}", status=self.order_status)(self, call)
            return
        self.arrivals.append(call)
        expected = call.headers.get(names.EXPECTED_INSTANCE.lower())
        if expected != self.name:
            await call.write(call.head(421, length=0))
            return
        self.journal.append(call)
        response = asyncio.ensure_future(self.behaviour(self, call))
        disconnect = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({response, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if not response.done():
            self.early_closes += 1
            response.cancel()
        disconnect.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await disconnect
        with contextlib.suppress(asyncio.CancelledError):
            await response


async def _read_call(
    upstream: UpstreamStandin, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    length = int(headers.get("content-length", "0")) if upstream.reads_bodies else 0
    body = await reader.readexactly(length)
    return Call(
        method=method,
        target=target,
        headers=headers,
        body=body,
        reader=reader,
        writer=writer,
        upstream=upstream,
    )


async def answer_complete(upstream: UpstreamStandin, call: Call) -> None:
    """Execute the request and send a complete, sealed response."""
    await call.write(call.sealed(f"{upstream.name} ran {call.attempt}".encode()))


def first_then(behaviour: Behaviour, *, then: Behaviour) -> Behaviour:
    """Return a behaviour, shared by upstreams, that is ``behaviour`` for the first call only."""
    calls = itertools.count()

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        chosen = behaviour if next(calls) == 0 else then
        await chosen(upstream, call)

    return run


async def stay_silent(upstream: UpstreamStandin, call: Call) -> None:
    """Execute the request and never respond."""
    await asyncio.sleep(3600)


def pause_first(seconds: float, behaviour: Behaviour) -> Behaviour:
    """Return a behaviour that sends nothing for ``seconds`` and then does ``behaviour``."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        await asyncio.sleep(seconds)
        await behaviour(upstream, call)

    return run


async def refuse_unexecuted(upstream: UpstreamStandin, call: Call) -> None:
    """Refuse the request with 503 and mark it as not executed."""
    upstream.journal.pop()
    await call.write(call.head(503, f"{names.NOT_EXECUTED}: 1", length=0))


async def refuse_naming_helper(upstream: UpstreamStandin, call: Call) -> None:
    """Refuse on behalf of the first helper, as if it were draining; stream if there is none."""
    helpers = call.headers.get(names.HELPERS.lower(), "")
    if not helpers:
        await stream(events=3)(upstream, call)
        return
    upstream.journal.pop()
    refusing_helper = helpers.split(",")[0]
    refusal = call.head(
        503, f"{names.NOT_EXECUTED}: 1", f"{names.AT_SERVER}: {refusing_helper}", length=0
    )
    await call.write(refusal)


def refuse_at_first_called(behaviour: Behaviour) -> Behaviour:
    """Return a behaviour, shared by upstreams, of which the one called first always refuses.

    Its refusals name a helper as at fault; the other upstreams do ``behaviour``.
    """
    first_called: list[UpstreamStandin] = []

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        first_called[:] = first_called or [upstream]
        refuses = upstream is first_called[0] and names.HELPERS.lower() in call.headers
        await (refuse_naming_helper if refuses else behaviour)(upstream, call)

    return run


async def fail(upstream: UpstreamStandin, call: Call) -> None:
    """Execute the request and respond with 500."""
    await call.write(call.sealed(b"failed", status=500))


async def reset_after_run(upstream: UpstreamStandin, call: Call) -> None:
    """Execute the request and reset the connection."""
    call.reset()


async def answer_unsealed(upstream: UpstreamStandin, call: Call) -> None:
    """Respond with 200 and no seal."""
    await call.write(call.head(200, length=5) + b"wrong")


async def answer_other_attempt(upstream: UpstreamStandin, call: Call) -> None:
    """Send the response to another attempt."""
    response = call.sealed(b"not yours").replace(call.attempt.encode(), b"another")
    await call.write(response)


async def answer_truncated(upstream: UpstreamStandin, call: Call) -> None:
    """Truncate the body 5 bytes before its declared length and reset the connection."""
    await call.write(call.sealed(b"a whole answer")[:-5])
    call.reset()


async def answer_without_length_and_reset(upstream: UpstreamStandin, call: Call) -> None:
    """Start a body that is delimited by the end of the connection, then reset the connection."""
    await call.write(call.head(200, f"{names.SEAL}: s", "Connection: close") + b"half")
    await asyncio.sleep(0.05)
    call.reset()


async def answer_twice(upstream: UpstreamStandin, call: Call) -> None:
    """Send a second response on the connection after the first."""
    await call.write(call.sealed(b"first"))
    await asyncio.sleep(0.02)
    await call.write(call.sealed(b"second"))


def stream(
    *,
    events: int,
    first: int = 0,
    step: int = 1,
    breaks_after: int | None = None,
    pause_after: int | None = None,
    pause: float = 0.0,
    resumes: asyncio.Event | None = None,
    gap: float = 0.002,
) -> Behaviour:
    """Return a behaviour that streams events numbered from ``first``, ``gap`` seconds apart.

    The number of an event is that of the one before it plus ``step``.
    The stream resets within an event after ``breaks_after`` events, and pauses after
    ``pause_after`` events for ``pause`` seconds and until ``resumes`` is set, if there is one.
    """

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        last = call.headers.get(names.LAST_EVENT.lower())
        await call.write(
            call.head(
                200,
                f"{names.SEAL}: s.{upstream.name}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        for index, number in enumerate(range(first, first + events * step, step)):
            if last is not None and number <= int(last):
                continue
            if index == pause_after:
                await asyncio.sleep(pause)
                if resumes is not None:
                    await resumes.wait()
            if breaks_after is not None and index >= breaks_after:
                await call.write_chunk(b"id: %d\nda" % number)
                await asyncio.sleep(0.02)
                call.reset()
                return
            await call.write_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(gap)
        await call.write(b"0\r\n\r\n")

    return run


def stream_until(ends: asyncio.Event) -> Behaviour:
    """Return a behaviour that streams events, 20 ms apart, until ``ends`` is set."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        seal = f"{names.SEAL}: s.{upstream.name}"
        stream_head = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        await call.write(call.head(200, seal, *stream_head))
        for number in itertools.count():
            if ends.is_set():
                break
            await call.write_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(0.02)
        await call.write(b"0\r\n\r\n")

    return run


def refuse_with_retry_after(value: str, *headers: str, status: int = 503) -> Behaviour:
    """Return a behaviour that refuses unexecuted requests with ``value`` as Retry-After."""

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        upstream.journal.pop()
        refusal = call.head(
            status, f"{names.NOT_EXECUTED}: 1", f"Retry-After: {value}", *headers, length=0
        )
        await call.write(refusal)

    return run


def unframed(
    *pieces: bytes,
    status: int = 200,
    headers: tuple[str, ...] = (),
    version: str = "1.1",
    pause: float = 0.0,
    then_reset: bool = False,
) -> Behaviour:
    """Return a behaviour that answers with neither a length nor chunks and ends the connection.

    It sends the head, then the ``pieces``, with ``pause`` seconds before each of them, and closes
    the connection in order, or resets it with ``then_reset``.
    """

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(call.head(status, f"{names.SEAL}: s", *headers, version=version))
        for piece in pieces:
            await asyncio.sleep(pause)
            await call.write(piece)
        if then_reset:
            # The peer reads what was sent before it sees the reset.
            await asyncio.sleep(0.02)
            call.reset()
        else:
            call.close()

    return run


def raw_answer(data: bytes, *, then_reset: bool = False) -> Behaviour:
    """Return a behaviour that sends raw bytes and ends the connection in the same moment.

    ``ATTEMPT`` in ``data`` stands for the attempt's id.
    """

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        await call.write(data.replace(b"ATTEMPT", call.attempt.encode()))
        if then_reset:
            call.reset()
        else:
            call.close()

    return run


async def fail_with_retry_after(upstream: UpstreamStandin, call: Call) -> None:
    """Send a sealed 503 with Retry-After that doesn't say that the request wasn't executed."""
    body = b"busy"
    head = call.head(503, f"{names.SEAL}: s.{call.attempt}", "Retry-After: 5", length=len(body))
    await call.write(head + body)


def unframed_stream(
    *,
    events: int,
    ends_after: int | None = None,
    ending: bytes = b"",
    then_reset: bool = False,
    version: str = "1.1",
    pause_after: int | None = None,
    pause: float = 0.0,
) -> Behaviour:
    """Return a behaviour that streams events from 0 and ends the stream with the connection.

    The stream goes on after the last event that the caller has. It ends before event ``ends_after``
    if that is given, sends ``ending`` behind its last event, and pauses for ``pause`` seconds
    before event ``pause_after``. ``then_reset`` resets the connection instead of closing it.
    """

    async def run(upstream: UpstreamStandin, call: Call) -> None:
        last = call.headers.get(names.LAST_EVENT.lower())
        start = 0 if last is None else int(last) + 1
        end = events if ends_after is None else ends_after
        seal = f"{names.SEAL}: s.{upstream.name}"
        await call.write(call.head(200, seal, "Content-Type: text/event-stream", version=version))
        for number in range(start, end):
            if number == pause_after:
                await asyncio.sleep(pause)
            await call.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(0.002)
        await call.write(ending)
        if then_reset:
            await asyncio.sleep(0.02)
            call.reset()
        else:
            call.close()

    return run
