"""Estimate which engines are eligible and have room, and how much prefill is queued at each."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.entry.backpressure import EntryBackpressure
from baobabpulley.entry.outstanding import DispatchedAttempt
from baobabpulley.entry.outstanding import OutstandingAttempts
from baobabpulley.entry.outstanding import UpstreamEstimate
from baobabpulley.entry.prefix_index import PrefixIndex
from baobabpulley.errors import NoUpstream
from baobabpulley.errors import UnknownModel
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.requests import CompletionRequest
from baobabpulley.model.upstreams import Upstream
from baobabpulley.policy.lanes import SHORT
from baobabpulley.policy.lanes import LanesSection
from baobabpulley.policy.routing import Candidate
from baobabpulley.policy.routing import RoutingSection
from baobabpulley.ports.engine import PRIORITY_LONG
from baobabpulley.ports.engine import PRIORITY_SHORT
from baobabpulley.timers import TimerService

MAX_DOUBLINGS: Final = 4
# How long an upstream gets no long requests after its memory turned out to be reserved for others,
# in model seconds.
RESERVED_PAUSE_SECONDS: Final = 1.0
# Factor on ``foreign_tokens`` for long requests: one may have to wait for the whole prefill of
# another entry's long request that no load report shows yet.
FOREIGN_LONG_FACTOR: Final = 20


@final
class LoadEstimates:
    """Load reports, corrected for their lag by the starts and ends of this entry's attempts.

    ``vm`` is the id of this entry's VM.
    """

    __slots__ = (
        "_assignment_inputs",
        "_backpressure",
        "_failures",
        "_foreign_engines",
        "_lanes",
        "_outstanding",
        "_paused_until",
        "_prefixes",
        "_routing",
        "_suspects",
        "_timers",
        "_view",
        "_vm",
    )

    def __init__(
        self,
        *,
        vm: str,
        view: FleetView,
        routing: RoutingSection,
        lanes: LanesSection,
        backpressure: EntryBackpressure,
        timers: TimerService,
    ) -> None:
        self._vm = vm
        self._view = view
        self._routing = routing
        self._lanes = lanes
        self._backpressure = backpressure
        self._timers = timers
        self._outstanding = OutstandingAttempts(corrected=routing.corrected)
        self._prefixes = PrefixIndex()
        self._suspects: dict[str, tuple[float, float]] = {}
        self._failures: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}
        self._assignment_inputs = (view.upstreams, view.entry_vms)
        self._foreign_engines = self._engines_of_other_vms()

    @property
    def prefixes(self) -> PrefixIndex:
        """Estimated contents of the engines' prefix caches; cache events are applied to it too."""
        return self._prefixes

    def eligible(self, request: CompletionRequest, *, excluded: frozenset[str]) -> list[Upstream]:
        """Return the upstreams that could run a request now or later.

        Those that are suspected or asked for no requests are left out. Raises `NoUpstream` if
        there is none or none has enough memory.
        """
        upstreams = [
            upstream
            for upstream in self._backpressure.accepting(self._with_model(request.model))
            if upstream.id not in excluded and not self._is_suspect(upstream.id)
        ]
        self._check_capacity(request, upstreams)
        return upstreams

    def backpressure_error(self, request: CompletionRequest) -> NoUpstream | None:
        """Return the error to report if all upstreams of a request asked for no requests."""
        retry_after = self._backpressure.retry_after(self._with_model(request.model))
        if retry_after is None:
            return None
        return NoUpstream(
            f"all upstreams in {self._view.failure_domain} that serve {request.model} "
            "asked for no requests",
            retry_after=retry_after,
        )

    def estimate(self, upstream: str, *, lane: str) -> UpstreamEstimate:
        """Return the estimate for a new attempt of a lane at an upstream."""
        return self._estimate(upstream, self.priority(lane))

    def has_room(
        self,
        upstream: Upstream,
        request: CompletionRequest,
        *,
        lane: str,
        estimate: UpstreamEstimate,
    ) -> bool:
        """Whether an upstream has room for a request of a lane now."""
        if estimate.memory_free < request.total_tokens:
            return False
        if lane == SHORT:
            return estimate.ahead_tokens <= self.rate(upstream.id) * self._lanes.engine_backlog
        if self._timers.now() < self._paused_until.get(upstream.id, 0.0):
            return False
        return not self._lanes.single_long or estimate.long_prefills == 0

    def candidate(
        self,
        upstream: Upstream,
        request: CompletionRequest,
        *,
        blocks: tuple[int, ...],
        estimate: UpstreamEstimate,
    ) -> Candidate:
        """Return the input of the routing policy for an upstream."""
        cached = self._prefixes.cached_tokens(upstream.id, blocks)
        return Candidate(
            upstream=upstream,
            prefill_rate=self.rate(upstream.id),
            in_flight=estimate.in_flight,
            ahead_tokens=estimate.ahead_tokens
            + self._unreported_tokens(upstream.id, request, estimate),
            cached_tokens=min(cached, request.prompt_tokens),
        )

    def record_dispatch(
        self, chosen: Candidate, request: CompletionRequest, *, lane: str
    ) -> DispatchedAttempt:
        """Count a request as dispatched to the chosen upstream."""
        attempt = DispatchedAttempt(
            tokens=max(1, request.prompt_tokens - int(chosen.cached_tokens)),
            memory=request.total_tokens,
            priority=self.priority(lane),
            sent_at=self._timers.now(),
        )
        load = self._view.loads.get(chosen.upstream.id)
        self._outstanding.record_dispatch(chosen.upstream.id, attempt, load=load)
        return attempt

    def pause_long_requests(self, upstream: str) -> None:
        """Send an upstream no long requests for a short time: others have reserved its memory."""
        self._paused_until[upstream] = self._timers.now() + RESERVED_PAUSE_SECONDS

    def suspect(self, upstream: str, *, seconds: float) -> None:
        """Exclude an upstream until its next load report.

        Without a report it is tried again after ``seconds``, doubled with each consecutive failure
        up to `MAX_DOUBLINGS` times.
        """
        if self._is_suspect(upstream):
            return
        now = self._timers.now()
        failures = self._failures.get(upstream, 0)
        self._failures[upstream] = failures + 1
        self._suspects[upstream] = (now, now + seconds * 2 ** min(failures, MAX_DOUBLINGS))

    def priority(self, lane: str) -> int:
        """Return the engine priority of a lane."""
        is_high = lane == SHORT or not self._lanes.short_priority
        return PRIORITY_SHORT if is_high else PRIORITY_LONG

    def rate(self, upstream: str) -> float:
        """Return an upstream's prefill rate in tokens per second."""
        load = self._view.loads.get(upstream)
        return float(self._routing.prefill_rate) if load is None else load.report.prefill_rate

    def ahead_tokens(self, upstream: str, priority: int) -> float:
        """Estimate the prefill tokens that a new attempt of a priority waits for."""
        return self._estimate(upstream, priority).ahead_tokens

    def _estimate(self, upstream: str, priority: int) -> UpstreamEstimate:
        return self._outstanding.estimate(
            upstream,
            self._view.loads.get(upstream),
            priority=priority,
            now=self._timers.now(),
            rate=self.rate(upstream),
        )

    def _check_capacity(self, request: CompletionRequest, eligible: list[Upstream]) -> None:
        if not eligible:
            raise self.backpressure_error(request) or NoUpstream(
                f"no upstream in {self._view.failure_domain} can serve {request.model} now"
            )
        loads = [self._view.loads.get(upstream.id) for upstream in eligible]
        largest = max(float("inf") if load is None else load.report.memory_total for load in loads)
        if largest < request.total_tokens:
            raise NoUpstream(
                f"the request needs {request.total_tokens} tokens of memory; "
                f"the largest engine that accepts requests has {largest:.0f}"
            )

    def _with_model(self, model: str) -> list[Upstream]:
        """Return the upstreams that accept work and may have a model."""
        document = self._view.settings_state.models.get(model)
        if document is None:
            raise UnknownModel(f"unknown model {model!r}")
        return [
            upstream
            for upstream in self._view.live_upstreams(document.service)
            if self._may_have_model(upstream.id, model)
        ]

    def _may_have_model(self, upstream: str, model: str) -> bool:
        load = self._view.loads.get(upstream)
        return load is None or model in load.report.models

    def _is_suspect(self, upstream: str) -> bool:
        suspicion = self._suspects.get(upstream)
        if suspicion is None:
            return False
        suspected_at, until = suspicion
        load = self._view.loads.get(upstream)
        reported = load is not None and load.measured_at > suspected_at
        if reported:
            self._failures.pop(upstream, None)
        if reported or self._timers.now() > until:
            del self._suspects[upstream]
            return False
        return True

    def _unreported_tokens(
        self, upstream: str, request: CompletionRequest, estimate: UpstreamEstimate
    ) -> float:
        """Return the extra tokens charged for load that no report shows.

        They stand for the step that is running, and for what other entries may have sent.
        """
        step = self._routing.step_tokens / 2 if estimate.in_flight else 0.0
        if estimate.long_prefills:
            step = max(step, float(self._routing.beside_long_tokens))
        if self._is_assigned_here(upstream):
            return step
        is_long = request.prompt_tokens > self._lanes.short_tokens
        return step + self._routing.foreign_tokens * (FOREIGN_LONG_FACTOR if is_long else 1)

    def _is_assigned_here(self, upstream: str) -> bool:
        """Whether an engine is assigned to this entry's VM."""
        upstreams, entry_vms = self._view.upstreams, self._view.entry_vms
        if (
            self._assignment_inputs[0] is not upstreams
            or self._assignment_inputs[1] is not entry_vms
        ):
            # The view replaces these objects when they change, so identity is enough to compare.
            self._assignment_inputs = (upstreams, entry_vms)
            self._foreign_engines = self._engines_of_other_vms()
        return upstream not in self._foreign_engines

    def _engines_of_other_vms(self) -> frozenset[str]:
        """Return the engines that are assigned to other entry VMs.

        Engines are assigned round-robin, in the order of their ids and of the VMs.
        """
        vms = [vm.id for vm in self._view.keepers]
        if self._vm not in vms:
            return frozenset()
        own_index = vms.index(self._vm)
        ranked = enumerate(sorted(self._view.upstreams))
        return frozenset(id for rank, id in ranked if rank % len(vms) != own_index)
