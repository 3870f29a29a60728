"""A caller of the completion API that records what it receives, with times."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any
from typing import final

import msgspec

from baobabpulley.adapters.events import DONE
from baobabpulley.adapters.events import read_events
from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamUnreachable

DEFAULT_SILENCE_TIMEOUT_SECONDS = 600.0


@final
class Completion:
    """The received response. ``first_token`` and ``total`` are real seconds since sending.

    ``code`` is empty on success, ``cut`` if the stream ended early, ``connection`` if the
    connection failed, else the code of the error. ``message`` gives the reason, and ``ran`` says
    whether the request was executed (``None`` if unknown).
    """

    __slots__ = (
        "code",
        "first_token",
        "message",
        "offset",
        "ran",
        "request_id",
        "resume_token",
        "status",
        "text",
        "total",
        "usage",
    )

    def __init__(self) -> None:
        self.offset = 0
        self.resume_token = ""
        self.status = 0
        self.code = ""
        self.message = ""
        self.ran: bool | None = None
        self.text = ""
        self.request_id = ""
        self.first_token: float | None = None
        self.total = 0.0
        self.usage: dict[str, int] = {}

    @property
    def ok(self) -> bool:
        """Whether the complete response arrived."""
        return self.status == 200 and not self.code


@final
class Caller:
    """A client of one client account, which sends to the entry given with each call.

    It gives up after ``silence_timeout`` real seconds without a byte.
    """

    __slots__ = ("_client", "_model", "_silence_timeout", "_token")

    def __init__(
        self,
        *,
        token: str,
        model: str,
        client: HttpClient | None = None,
        silence_timeout: float = DEFAULT_SILENCE_TIMEOUT_SECONDS,
    ) -> None:
        self._token = token
        self._model = model
        self._client = client or HttpClient()
        self._silence_timeout = silence_timeout

    async def complete(
        self,
        address: str,
        *,
        prompt: str,
        max_tokens: int = 8,
        seed: int = 0,
        stream: bool = True,
        headers: dict[str, str] | None = None,
        on_token: Callable[[], None] | None = None,
    ) -> Completion:
        """Send a completion request, call ``on_token`` for each event, and return the response."""
        body = {
            "model": self._model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "seed": seed,
            "stream": stream,
        }
        result = Completion()
        await self._send(address, "/v1/completions", body, headers or {}, result, on_token)
        return result

    async def resume(self, address: str, lost: Completion, *, prompt: str) -> Completion:
        """Resume a lost completion through another entry; the result holds the complete text."""
        body = {
            "resume_token": lost.resume_token,
            "prompt": prompt,
            "delivered": lost.text,
            "offset": lost.offset,
        }
        result = Completion()
        result.text = lost.text
        result.offset = lost.offset
        result.resume_token = lost.resume_token
        result.first_token = lost.first_token
        await self._send(address, "/v1/completions/resume", body, {}, result)
        return result

    async def _send(
        self,
        address: str,
        path: str,
        body: dict[str, object],
        headers: dict[str, str],
        result: Completion,
        on_token: Callable[[], None] | None = None,
    ) -> None:
        started = time.monotonic()
        try:
            async with self._client.call(
                address=address,
                method="POST",
                path=path,
                body=msgspec.json.encode(body),
                headers={"Authorization": f"Bearer {self._token}", **headers},
                head_timeout=self._silence_timeout,
            ) as response:
                result.status = response.status
                result.request_id = response.headers.get("X-Request-Id", "")
                result.resume_token = response.headers.get("Resume-Token", result.resume_token)
                if response.headers.get("Content-Type", "").startswith("text/event-stream"):
                    chunks = response.chunks(idle_timeout=self._silence_timeout)
                    await _read_stream(chunks, result, started, on_token)
                else:
                    _record_document(
                        result, await response.body(idle_timeout=self._silence_timeout)
                    )
        except (UpstreamLost, UpstreamUnreachable) as error:
            result.code = "connection"
            result.message = error.message
            result.ran = error.ran
        result.total = time.monotonic() - started
        if result.first_token is None:
            result.first_token = result.total


async def _read_stream(
    chunks: Any, result: Completion, started: float, on_token: Callable[[], None] | None
) -> None:
    done = False
    async for data in read_events(chunks):
        if data == DONE:
            done = True
            continue
        if result.first_token is None:
            result.first_token = time.monotonic() - started
        _record_document(result, data)
        if on_token is not None:
            on_token()
    if not done and not result.code:
        result.code = "cut"


def _record_document(result: Completion, data: bytes) -> None:
    document = msgspec.json.decode(data)
    error = document.get("error")
    if error is not None:
        result.code = error["code"]
        result.message = error["message"]
        result.ran = error["ran"]
        return
    result.text += document["choices"][0]["text"]
    result.offset = max(result.offset, document.get("offset", 0))
    result.usage = document.get("usage") or result.usage
