"""Builders of views, load reports, requests and engine calls for tests."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from baobabpulley.model.documents import ModelDocument
from baobabpulley.model.documents import ServiceDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import model_key
from baobabpulley.model.documents import service_key
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import LoadReport
from baobabpulley.model.upstreams import Vm
from baobabpulley.ports.engine import EngineCall
from baobabpulley.standins.text import make_prompt

DOMAIN = "fes"
MODEL = "recipes"
SERVICE = "kitchen"
WAIT_SECONDS = 30.0

_numbers = itertools.count(1)


def make_view(*, engines: int, entry_vms: int = 1, dialect: str = "chunked") -> FleetView:
    """Return a view of one failure domain whose engines have not reported their load yet."""
    view = FleetView(failure_domain=DOMAIN)
    documents = {
        service_key(SERVICE): ServiceDocument(kind="engine", dialect=dialect),
        model_key(MODEL): ModelDocument(service=SERVICE),
    }
    view.settings_state.install(
        [
            StoredEntry(key=key, value=encode_document(document), mod_revision=index)
            for index, (key, document) in enumerate(documents.items(), 1)
        ]
    )
    rows = [
        Vm(f"engine-{index}", "upstream", DOMAIN, f"127.0.0.1:{index + 1}", service=SERVICE)
        for index in range(engines)
    ]
    rows += [Vm(f"vm-{index}", "entry", DOMAIN, "127.0.0.1:9") for index in range(entry_vms)]
    view.set_vms(tuple(rows))
    return view


def make_report(upstream: str = "engine-0", **figures: object) -> LoadReport:
    """Return the load report of an idle engine, with the given fields replaced."""
    idle: dict[str, object] = {
        "incarnation": "a",
        "sequence": next(_numbers),
        "queued": 0,
        "queued_high": 0,
        "running": 0,
        "long_prefills": 0,
        "memory_total": 400_000,
        "memory_held": 0,
        "prefill_rate": 20_000.0,
        "models": (MODEL,),
    }
    return LoadReport(upstream=upstream, **{**idle, **figures})  # type: ignore[arg-type]


def make_request(
    *, tokens: int, team: str = "souk", arrived: float = 1000.0, seconds: float = 60.0
) -> CompletionRequest:
    """Return a request due ``seconds`` after its arrival; no two share a prompt prefix."""
    number = next(_numbers)
    return CompletionRequest(
        request_id=f"request-{number}",
        team=team,
        model=MODEL,
        prompt=f"{number:08}" + "x" * (4 * tokens - 8),
        prompt_tokens=tokens,
        max_tokens=8,
        seed=0,
        stream=True,
        arrived=arrived,
        deadline=arrived + seconds,
    )


def make_call(
    attempt: str,
    *,
    tokens: int = 100,
    max_tokens: int = 4,
    priority: int = 0,
    prompt_seed: int = 7,
) -> EngineCall:
    """Return an engine call whose prompt has ``tokens`` tokens."""
    return EngineCall(
        attempt=attempt,
        request_id=attempt,
        holder="test",
        model=MODEL,
        prompt=make_prompt(tokens=tokens, seed=prompt_seed),
        max_tokens=max_tokens,
        seed=0,
        priority=priority,
        deadline=600.0,
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It does not within ``WAIT_SECONDS``.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)
