"""Run one gang: prefill the chunks in order, stream the completion, replace members that fail."""

from __future__ import annotations

import contextlib
import secrets
from collections.abc import AsyncIterator
from typing import Final
from typing import Protocol
from typing import final

from baobabpulley.adapters.metrics import EntryMetrics
from baobabpulley.entry.delivery import CompletionProgress
from baobabpulley.entry.gang_acquire import FAILED_EXCLUSION_SECONDS
from baobabpulley.entry.gang_acquire import POLL_SECONDS
from baobabpulley.entry.gang_acquire import GangAcquirer
from baobabpulley.entry.gang_acquire import GangPlan
from baobabpulley.entry.hold_renewal import HoldRenewal
from baobabpulley.entry.reservations import EntryReservations
from baobabpulley.errors import BaobabError
from baobabpulley.errors import UpstreamImportFailed
from baobabpulley.errors import UpstreamLost
from baobabpulley.errors import UpstreamRefused
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.requests import CompletionEvent
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.gangs import SplitPrompt
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import ChunkRef
from baobabpulley.ports.engine import Engine
from baobabpulley.ports.engine import EngineCall
from baobabpulley.ports.engine import PrefillCall
from baobabpulley.timers import TimerService

_FAILURES: Final = (UpstreamRefused, UpstreamUnreachable, UpstreamLost)
# After so many consecutive failures of one step the gang starts over on other engines.
MAX_FAILURES: Final = 6
# An engine that leaves more questions for its chunk unanswered in a row counts as lost.
MAX_UNANSWERED: Final = 1


class GangFailed(Exception):
    """Raised when a step keeps failing or a member cannot be replaced in time."""


class AddStep(Protocol):
    """Callback that adds a step to the decision record."""

    def __call__(self, what: str, **detail: str | int | float | bool | None) -> None: ...


class _Member:
    """An engine of the gang, and the chunk that it holds.

    ``chunk_id`` is empty while there is no chunk; ``ref`` is set once it is prefilled.
    ``unanswered`` counts the latest questions for the chunk that the engine didn't answer.
    """

    __slots__ = ("chunk_id", "ref", "unanswered", "upstream")

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.chunk_id = ""
        self.ref: ChunkRef | None = None
        self.unanswered = 0


@final
class GangRun:
    """One run of a gang whose members are all reserved; `release` frees chunks and memory."""

    __slots__ = (
        "_acquirer",
        "_add_step",
        "_engine",
        "_holds",
        "_members",
        "_metrics",
        "_plan",
        "_progress",
        "_request",
        "_reservations",
        "_split",
        "_timers",
    )

    def __init__(
        self,
        *,
        request: CompletionRequest,
        split: SplitPrompt,
        plan: GangPlan,
        members: tuple[Upstream, ...],
        progress: CompletionProgress,
        add_step: AddStep,
        engine: Engine,
        acquirer: GangAcquirer,
        reservations: EntryReservations,
        holds: HoldRenewal,
        metrics: EntryMetrics,
        timers: TimerService,
    ) -> None:
        self._request = request
        self._split = split
        self._plan = plan
        self._members = [_Member(upstream) for upstream in members]
        self._progress = progress
        self._add_step = add_step
        self._engine = engine
        self._acquirer = acquirer
        self._reservations = reservations
        self._holds = holds
        self._metrics = metrics
        self._timers = timers

    async def events(self) -> AsyncIterator[CompletionEvent]:
        """Yield the completion; raise `GangFailed` if the gang has to start over."""
        last = len(self._members) - 1
        for index in range(last):
            await self._prefill(index)
        for _ in range(MAX_FAILURES):
            try:
                async with contextlib.aclosing(self._generate()) as events:
                    async for event in events:
                        yield event
                return
            except _FAILURES as error:
                self._add_step(error.code, upstream=self._members[last].upstream.id, part=last)
                await self._recover(last, error)
        raise GangFailed(f"the last member failed {MAX_FAILURES} times to generate the completion")

    def release(self) -> None:
        """Free the chunks on all engines and release the reservation."""
        for member in self._members:
            self._free_chunk(member)
        self._reservations.release_claims(
            self._plan.reservation, tuple(member.upstream.id for member in self._members)
        )

    async def _prefill(self, index: int) -> None:
        """Have a member prefill its chunk, and replace the member if it fails."""
        for _ in range(MAX_FAILURES):
            member = self._members[index]
            try:
                await self._prefill_chunk(index, member)
                return
            except _FAILURES as error:
                self._add_step(error.code, upstream=member.upstream.id, part=index)
                self._free_chunk(member)
                await self._recover(index, error)
        raise GangFailed(f"the prefill of chunk {index} failed {MAX_FAILURES} times in a row")

    async def _prefill_chunk(self, index: int, member: _Member) -> None:
        member.chunk_id = f"part-{secrets.token_hex(8)}"
        call = PrefillCall(
            part=member.chunk_id,
            request_id=self._request.request_id,
            holder=self._reservations.holder,
            model=self._request.model,
            text=self._split.chunks[index],
            imports=self._imports(index),
            priority=PRIORITY_LONG,
            deadline=self._request.deadline - self._timers.now(),
            encoding=self._split.encoding,
        )
        self._metrics.attempts.labels(service=member.upstream.service).inc()
        self._add_step("part", upstream=member.upstream.id, part=index)
        self._holds.track(member.upstream, member.chunk_id)
        member.ref = await self._engine.prefill_chunk(member.upstream, call)

    async def _generate(self) -> AsyncIterator[CompletionEvent]:
        last = len(self._members) - 1
        upstream = self._members[last].upstream
        attempt = f"gang-{secrets.token_hex(8)}"
        call = EngineCall(
            attempt=attempt,
            request_id=self._request.request_id,
            holder=self._reservations.holder,
            model=self._request.model,
            prompt=self._split.chunks[last],
            max_tokens=self._request.max_tokens,
            seed=self._request.seed,
            priority=PRIORITY_LONG,
            deadline=self._request.deadline - self._timers.now(),
            offset=self._progress.offset,
            delivered=self._progress.text,
            imports=self._imports(last),
            encoding=self._split.encoding,
        )
        self._metrics.attempts.labels(service=upstream.service).inc()
        self._add_step("answer", upstream=upstream.id, offset=self._progress.offset)
        self._holds.track(upstream, attempt)
        try:
            events = self._engine.complete(upstream, call)
            async with contextlib.aclosing(events):  # type: ignore[type-var]
                async for event in events:
                    new_event = self._progress.accept(event)
                    if new_event is not None:
                        yield new_event
        finally:
            self._holds.release(upstream, attempt)

    def _imports(self, index: int) -> tuple[ChunkRef, ...]:
        refs = (member.ref for member in self._members[:index])
        return tuple(ref for ref in refs if ref is not None)

    async def _recover(self, index: int, error: BaobabError) -> None:
        """Replace the member that failed, and prefill again the earlier chunks that were lost."""
        if not isinstance(error, UpstreamImportFailed):
            await self._replace(index)
        for earlier in range(index):
            if await self._has_lost_chunk(self._members[earlier]):
                self._add_step(
                    "part lost", upstream=self._members[earlier].upstream.id, part=earlier
                )
                self._free_chunk(self._members[earlier])
                await self._replace(earlier)
                await self._prefill(earlier)
        await self._timers.sleep(POLL_SECONDS)

    async def _has_lost_chunk(self, member: _Member) -> bool:
        """Whether a member's chunk is gone; so is that of one that repeatedly doesn't answer."""
        try:
            holds = await self._engine.holds(member.upstream)
        except UpstreamLost:
            # A sound engine may have paused for longer than the call may take.
            member.unanswered += 1
            return member.unanswered > MAX_UNANSWERED
        except BaobabError:
            return True
        member.unanswered = 0
        return all(hold.id != member.chunk_id for hold in holds)

    async def _replace(self, index: int) -> None:
        member = self._members[index]
        self._plan.excluded_until[member.upstream.id] = (
            self._timers.now() + FAILED_EXCLUSION_SECONDS
        )
        members = {remaining.upstream.id for remaining in self._members if remaining is not member}
        # The memory on the failed engine is kept meanwhile: it may be sound and the only one.
        replacement = await self._acquirer.replace(
            self._plan, tokens=self._plan.needs[index], members=members
        )
        if replacement is None:
            raise GangFailed(f"no replacement for {member.upstream.id} became available in time")
        if replacement.id != member.upstream.id:
            self._reservations.release_claims(self._plan.reservation, (member.upstream.id,))
        self._add_step("replaced", upstream=member.upstream.id, by=replacement.id, part=index)
        member.upstream = replacement

    def _free_chunk(self, member: _Member) -> None:
        if member.chunk_id:
            self._holds.release(member.upstream, member.chunk_id)
        member.chunk_id = ""
        member.ref = None
        member.unanswered = 0
