"""Tests of gangs one of whose engines falls silent while no replacement is to be had."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import final

import pytest
from builders import MODEL
from builders import SERVICE
from builders import make_request

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.delivery import CompletionProgress
from baobabpulley.entry.gang_acquire import GangPlan
from baobabpulley.entry.gang_run import GangFailed
from baobabpulley.entry.gang_run import GangRun
from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.errors import BaobabError
from baobabpulley.errors import UpstreamImportFailed
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamStalled
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import EndEvent
from baobabpulley.model.requests import TokenEvent
from baobabpulley.model.requests import Usage
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.gangs import split_prompt
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import Hold
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.timers import TimerService

SPEED = 100.0
NO_RESPONSE = UpstreamLost("/v1/holds did not respond within 2.00 s")
IMPORT_FAILED = UpstreamImportFailed("the chunk is not available")


@final
class GangEngine(Engine):
    """Engines whose calls fail by scripts of errors, one for each kind of call, and then succeed.

    ``prefills`` are the upstreams that prefilled a chunk, ``freed`` the ids of released chunks.
    """

    def __init__(self, **scripts: list[BaobabError]) -> None:
        self._scripts = scripts
        self._held: dict[str, set[str]] = {}
        self.prefills: list[str] = []
        self.freed: set[str] = set()

    def _fail(self, kind: str) -> None:
        script = self._scripts.get(kind)
        if script:
            raise script.pop(0)

    async def prefill_chunk(self, upstream: Upstream, call: PrefillCall) -> ChunkRef:
        self._fail("prefill_chunk")
        self.prefills.append(upstream.id)
        self._held.setdefault(upstream.id, set()).add(call.part)
        return ChunkRef(part=call.part, address=upstream.address, tokens=100)

    async def complete(
        self, upstream: Upstream, call: EngineCall
    ) -> AsyncIterator[CompletionEvent]:
        self._fail("complete")
        yield TokenEvent(attempt=call.attempt, index=0, tokens=("answer",))
        usage = Usage(prompt_tokens=1, completion_tokens=1)
        yield EndEvent(attempt=call.attempt, reason="length", usage=usage)

    async def holds(self, upstream: Upstream) -> tuple[Hold, ...]:
        self._fail("holds")
        return tuple(
            Hold(id=id, holder="entry-0", kind="part", tokens=100, expires_in=5.0)
            for id in self._held.get(upstream.id, ())
        )

    async def release(self, upstream: Upstream, *, ids: tuple[str, ...]) -> None:
        self.freed.update(ids)
        self._held.get(upstream.id, set()).difference_update(ids)

    def _unused(self, *_: Any, **__: Any) -> Any:
        raise NotImplementedError

    resume = resume_chunk = cancel = renew = load = events = order = state = _unused


@final
class Memory:
    """The memory of the gang's engines: reservations and the search for replacements.

    ``claimed`` are the engines on which the gang has memory. Others take memory that is free, so
    that the gang is given an engine only as long as it still has memory there.
    """

    def __init__(self, engines: list[Upstream]) -> None:
        self.holder = "entry-0"
        self.claimed = {engine.id: engine for engine in engines}

    def release_claims(self, reservation: str, upstreams: tuple[str, ...]) -> None:
        for upstream in upstreams:
            self.claimed.pop(upstream, None)

    async def replace(self, plan: GangPlan, *, tokens: int, members: set[str]) -> Upstream | None:
        left = [engine for name, engine in self.claimed.items() if name not in members]
        return left[0] if left else None


def make_run(engine: GangEngine) -> tuple[GangRun, Memory]:
    timers = TimerService(speed=SPEED)
    request = make_request(tokens=1_000, arrived=timers.now())
    members = [
        Upstream(f"engine-{index}", SERVICE, "fes", f"127.0.0.1:{index + 1}") for index in range(2)
    ]
    memory = Memory(members)
    run = GangRun(
        request=request,
        split=split_prompt(request.prompt, 2),
        plan=GangPlan(
            reservation="gang-1",
            service=SERVICE,
            model=MODEL,
            needs=(500, 500),
            ideal=1.0,
            arrived=request.arrived,
            give_up_at=request.deadline,
        ),
        members=tuple(members),
        progress=CompletionProgress(max_tokens=8),
        add_step=lambda what, **detail: None,
        engine=engine,
        acquirer=memory,  # type: ignore[arg-type]
        reservations=memory,  # type: ignore[arg-type]
        holds=HoldRenewal(holder="entry-0", engine=engine, timers=timers),
        metrics=EntryMetrics(),
        timers=timers,
    )
    return run, memory


async def answer(run: GangRun) -> str:
    return "".join(
        ["".join(event.tokens) async for event in run.events() if isinstance(event, TokenEvent)]
    )


async def test_a_chunk_whose_engine_does_not_answer_once_is_not_given_up() -> None:
    engine = GangEngine(complete=[IMPORT_FAILED], holds=[NO_RESPONSE])
    run, _ = make_run(engine)
    assert await answer(run) == "answer"
    assert engine.prefills == ["engine-0"]


async def test_a_chunk_whose_engine_stays_silent_is_prefilled_again() -> None:
    engine = GangEngine(complete=[IMPORT_FAILED] * 2, holds=[NO_RESPONSE] * 2)
    run, _ = make_run(engine)
    assert await answer(run) == "answer"
    assert engine.prefills == ["engine-0", "engine-0"]


async def test_a_chunk_whose_engine_is_gone_is_prefilled_again_at_once() -> None:
    engine = GangEngine(complete=[IMPORT_FAILED], holds=[UpstreamUnreachable("gone")])
    run, _ = make_run(engine)
    assert await answer(run) == "answer"
    assert engine.prefills == ["engine-0", "engine-0"]


@pytest.mark.parametrize("kind", ["prefill_chunk", "complete"])
async def test_a_silent_member_keeps_its_memory_until_it_is_replaced(kind: str) -> None:
    engine = GangEngine(**{kind: [UpstreamStalled("sent nothing for 3.00 s")]})
    run, memory = make_run(engine)
    assert await answer(run) == "answer"
    assert set(memory.claimed) == {"engine-0", "engine-1"}


async def test_a_member_that_is_replaced_gives_its_memory_back() -> None:
    engine = GangEngine(prefill_chunk=[UpstreamStalled("sent nothing for 3.00 s")])
    run, memory = make_run(engine)
    memory.claimed = {
        "engine-2": Upstream("engine-2", SERVICE, "fes", "127.0.0.1:3"),
        **memory.claimed,
    }
    assert await answer(run) == "answer"
    assert engine.prefills == ["engine-2"]
    assert set(memory.claimed) == {"engine-1", "engine-2"}


async def test_a_member_that_keeps_failing_ends_the_gang() -> None:
    engine = GangEngine(prefill_chunk=[UpstreamStalled("sent nothing for 3.00 s")] * 20)
    run, _ = make_run(engine)
    with pytest.raises(GangFailed):
        await answer(run)
