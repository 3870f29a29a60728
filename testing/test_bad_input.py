"""Bad input gets a typed error and reaches no engine; a disconnect frees the engine's memory."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
import pytest_asyncio
from builders import WAIT_SECONDS

from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.standins.text import make_prompt

MAX_BODY_BYTES = 2_000_000
TOKEN = caller_token("souk")
PROMPT = "saffron and cumin"
SECTIONS = {
    "callers": {"max_body_bytes": str(MAX_BODY_BYTES), "body_timeout": "2.0"},
    "logs": {"level": "DEBUG", "format": "json"},
}

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(base_port: int, tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Fleet]:
    directory: Path = tmp_path_factory.mktemp("bad-input")
    plan = FleetPlan(
        base_port=base_port,
        domains=("fes",),
        entries=1,
        engines=1,
        plain_services=0,
        speed=4.0,
        engine_options=("--prefill-rate", "2000"),
        entry_sections=SECTIONS,
    )
    async with Fleet(plan=plan, directory=directory) as running:
        yield running


def request(
    body: bytes | dict[str, Any] = b"",
    *headers: str,
    line: str = "POST /v1/completions HTTP/1.1",
    token: str = TOKEN,
    length: int | str | None = None,
) -> bytes:
    """Return a raw HTTP request; ``length`` overrides the value of Content-Length."""
    data = msgspec.json.encode(body) if isinstance(body, dict) else body
    lines = [line, "Host: entry", f"Authorization: Bearer {token}", *headers]
    if not any(header.startswith("Transfer-Encoding") for header in headers):
        lines.append(f"Content-Length: {len(data) if length is None else length}")
    return "\r\n".join([*lines, "", ""]).encode() + data


def completion(**changes: Any) -> dict[str, Any]:
    return {"model": MODEL, "prompt": PROMPT, "max_tokens": 2, **changes}


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)


class RawResponse:
    """An HTTP response as it was received."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split()[1])
        self.headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        self.body = body

    @property
    def error(self) -> dict[str, Any]:
        return json.loads(self.body)["error"]


async def exchange(fleet: Fleet, data: bytes, *, responses: int = 1) -> list[RawResponse]:
    """Send raw bytes over one connection and return the first ``responses`` responses."""
    host, _, port = fleet.entries["entry-0"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            writer.write(data)
            return [await read_response(reader) for _ in range(responses)]
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> RawResponse:
    head = await reader.readuntil(b"\r\n\r\n")
    response = RawResponse(head, b"")
    response.body = await reader.readexactly(int(response.headers.get("Content-Length", "0")))
    return response


async def journal(fleet: Fleet) -> dict[str, Any]:
    return await fleet.request(fleet.address_of("engine-0"), "GET", "/journal")


async def received_requests(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the engine's journal lines of callers' requests, without those of keepers' orders."""
    return [line for line in (await journal(fleet))["lines"] if "request" in line]


OVERSIZED_BODY = msgspec.json.encode(completion(prompt="x" * MAX_BODY_BYTES))
CASES = {
    "broken JSON": (request(b'{"model":'), 400, "bad_request"),
    "not UTF-8": (request(b'{"prompt":"\xff\xfe"}'), 400, "bad_request"),
    "nested too deep": (
        request(b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"),
        400,
        "bad_request",
    ),
    "wrong type": (request(completion(prompt=5)), 400, "bad_request"),
    "missing field": (request({"model": MODEL}), 400, "bad_request"),
    "negative max_tokens": (request(completion(max_tokens=-1)), 400, "bad_request"),
    "too many tokens asked for": (request(completion(max_tokens=10**6)), 400, "bad_request"),
    "unknown model": (request(completion(model="other")), 404, "unknown_model"),
    "bad token": (request(completion(), token="nobody"), 401, "bad_token"),
    "body past the limit": (request(OVERSIZED_BODY), 413, "body_too_large"),
    "chunked body past the limit": (
        request(chunked(OVERSIZED_BODY), "Transfer-Encoding: chunked"),
        413,
        "body_too_large",
    ),
    "length that is no number": (request(completion(), length="many"), 400, "bad_request"),
    "unknown path": (request(line="GET /v2/nothing HTTP/1.1"), 404, "not_found"),
    "method not taken": (request(line="DELETE /v1/models HTTP/1.1"), 405, "method_not_allowed"),
}


@pytest.mark.parametrize("case", CASES)
async def test_bad_request_is_refused_as_not_run(fleet: Fleet, case: str) -> None:
    data, status, code = CASES[case]
    before = await received_requests(fleet)
    (response,) = await exchange(fleet, data)
    assert (response.status, response.error["code"], response.error["ran"]) == (status, code, False)
    assert response.error["remedy"]
    assert response.headers["X-Request-Id"]
    assert await received_requests(fleet) == before


RAW_CASES = {
    "rubbish": (b"\x00\x01 rubbish\r\n\r\n", 400, "bad_request"),
    "oversized header": (request(b"", "X-Long: " + "x" * 60_000), 431, "header_too_large"),
}


@pytest.mark.parametrize("case", RAW_CASES)
async def test_malformed_http_is_refused_with_a_typed_error(fleet: Fleet, case: str) -> None:
    data, status, code = RAW_CASES[case]
    before = await received_requests(fleet)
    (response,) = await exchange(fleet, data)
    assert (response.status, response.error["code"], response.error["ran"]) == (status, code, False)
    assert await received_requests(fleet) == before


async def test_bytes_past_the_declared_length_do_not_affect_the_request(fleet: Fleet) -> None:
    valid = request(completion(), "X-Request-Id: mine-1")
    first, second = await exchange(fleet, valid + b"\x00more\r\n\r\n", responses=2)
    assert (first.status, first.headers["X-Request-Id"]) == (200, "mine-1")
    assert (second.status, second.error["code"]) == (400, "bad_request")


async def test_slow_body_is_refused_as_not_run(fleet: Fleet) -> None:
    before = await received_requests(fleet)
    (response,) = await exchange(fleet, request(b'{"model":', length=4_000))
    assert (response.status, response.error["code"], response.error["ran"]) == (
        408,
        "body_too_slow",
        False,
    )
    assert await received_requests(fleet) == before


async def test_models_are_listed(fleet: Fleet) -> None:
    (response,) = await exchange(fleet, request(line="GET /v1/models HTTP/1.1"))
    assert [model["id"] for model in json.loads(response.body)["data"]] == [MODEL]


@pytest.mark.parametrize("daemon", ["entry", "keeper"])
@pytest.mark.parametrize("path", ["/healthz", "/readyz", "/metrics"])
async def test_each_daemon_serves_health_readiness_and_metrics(
    fleet: Fleet, daemon: str, path: str
) -> None:
    keeper = f"127.0.0.1:{fleet.plan.base_port + 800}"
    address = fleet.entries["entry-0"] if daemon == "entry" else keeper
    status, body = await fetch(
        fleet.client, address=address, method="GET", path=path, timeout=WAIT_SECONDS
    )
    assert status == 200
    assert path != "/metrics" or b"baobab_settings_revision" in body
    if path == "/metrics" and daemon == "keeper":
        assert b"\nbaobab_store_confirmation_age " in body


@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "whole"])
async def test_request_id_is_returned_to_the_caller(fleet: Fleet, stream: bool) -> None:
    caller = Caller(token=TOKEN, model=MODEL)
    headers = {"X-Request-Id": "mine-2"}
    address = fleet.entries["entry-0"]
    reply = await caller.complete(address, prompt=PROMPT, stream=stream, headers=headers)
    assert (reply.ok, reply.request_id) == (True, "mine-2")


DISCONNECT_CASES = {
    "before the first token": completion(
        prompt=make_prompt(tokens=390_000, seed=3), max_tokens=5_000, stream=True
    ),
    "in mid-stream": completion(max_tokens=5_000, stream=True),
    "of a whole answer": completion(max_tokens=5_000),
}


@pytest.mark.parametrize("case", DISCONNECT_CASES)
async def test_disconnected_caller_frees_engine_memory(fleet: Fleet, case: str) -> None:
    host, _, port = fleet.entries["entry-0"].rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(request(DISCONNECT_CASES[case]))
    await wait_for_memory(fleet, held=True)
    writer.close()
    await wait_for_memory(fleet, held=False)


async def wait_for_memory(fleet: Fleet, *, held: bool) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while bool((await journal(fleet))["held"]) is not held:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_log_has_a_line_for_each_request_and_no_prompt_or_token(fleet: Fleet) -> None:
    await exchange(fleet, request(completion(), "X-Request-Id: logged-1"))
    async with asyncio.timeout(WAIT_SECONDS):
        while not (lines := log_records(fleet, "logged-1")):  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    (line,) = lines
    log = fleet.processes["entry-0"].log
    assert PROMPT not in log
    assert TOKEN not in log
    assert (line["team"], line["upstream"], line["status"]) == ("souk", "engine-0", 200)


def log_records(fleet: Fleet, request_id: str) -> list[dict[str, Any]]:
    """Return the bound fields of the entry's log records of a request."""
    lines = fleet.processes["entry-0"].log.splitlines()
    extras = [json.loads(line)["record"]["extra"] for line in lines]
    return [extra for extra in extras if extra.get("request_id") == request_id]


async def test_refusal_without_an_upstream_has_a_retry_after_header(fleet: Fleet) -> None:
    fleet.processes["engine-0"].kill()
    (response,) = await exchange(fleet, request(completion()))
    fleet.processes["engine-0"].start()
    assert (response.status, response.error["ran"]) == (503, False)
    assert int(response.headers["Retry-After"]) >= 1
