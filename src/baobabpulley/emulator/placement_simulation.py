"""Simulate request placement: gateways' placers route replayed arrivals to simulated engines.

Neither sockets nor the real clock are used.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Iterable
from typing import Final
from typing import final

from baobabpulley.emulator.replayed_requests import DEFAULT_OUTPUT_TOKENS
from baobabpulley.emulator.replayed_requests import Arrival
from baobabpulley.emulator.replayed_requests import RequestOutcome
from baobabpulley.emulator.replayed_requests import route_for
from baobabpulley.emulator.simulated_engine import DecodeJob
from baobabpulley.emulator.simulated_engine import PrefillJob
from baobabpulley.emulator.simulated_engine import SimulatedEngine
from baobabpulley.emulator.typical_engine import TYPICAL_ENGINE
from baobabpulley.errors import BaobabError
from baobabpulley.gateway.peers.account_use_reports import AccountUseReports
from baobabpulley.gateway.peers.crash_evidence import CrashEvidence
from baobabpulley.gateway.peers.gossip import GossipProtocol
from baobabpulley.gateway.peers.gossip_messages import GossipMessage
from baobabpulley.gateway.peers.retry_loans import RetryLoans
from baobabpulley.gateway.peers.upstream_reports import UpstreamReports
from baobabpulley.gateway.placement.candidates import CandidateList
from baobabpulley.gateway.placement.placement import Placement
from baobabpulley.gateway.placement.placer import Placer
from baobabpulley.gateway.placement.planning import PlacementRequest
from baobabpulley.gateway.placement.upstream_record import UpstreamRecord
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.gateway.sections import GatewayPeersSection
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.exchanges import RequestParameters
from baobabpulley.model.routes import Route
from baobabpulley.model.routes import Service
from baobabpulley.model.servers import ListedUpstream
from baobabpulley.platform.documents import PlatformDocuments
from baobabpulley.policy.account_use import AccountUse
from baobabpulley.policy.deadlines import request_times
from baobabpulley.policy.fleet_load import LoadTracker
from baobabpulley.policy.node_retry_budget import NodeRetryBudget
from baobabpulley.timers import ManualTimers

STEP_SECONDS: Final = 0.0125
# 0.1 s, like the gossip period of a real gateway.
PUBLISH_PERIOD_STEPS: Final = 8
# 25 ms, like the queue check period of a real gateway.
QUEUE_CHECK_PERIOD_STEPS: Final = 2
# Duration of a call without a prompt.
PLAIN_CALL_SECONDS: Final = 0.1
SERVICE: Final = Service(name="kitchen", max_connections=424, engine=TYPICAL_ENGINE)
DOMAIN: Final = "fes"
# The simulation opens no sockets, so no address is ever used.
UNUSED_ADDRESS: Final = "127.0.0.1:9"


@final
class _Gateway:
    """One gateway's placer, with its own load figures and gossip state.

    It publishes when ``publish_due``, and in each period at the step ``publish_step``.
    """

    __slots__ = (
        "account_use",
        "candidates",
        "gossip",
        "loads",
        "placer",
        "publish_due",
        "publish_step",
        "record",
    )

    def __init__(
        self,
        name: str,
        *,
        fleet_state: FleetState,
        timers: ManualTimers,
        publish_step: int,
        source: random.Random,
    ) -> None:
        self.loads = LoadTracker()
        self.account_use = AccountUse()
        self.publish_due = False
        self.publish_step = publish_step
        self.loads.listen(self._mark_publish_due)
        reports = UpstreamReports(node=name, fleet_state=fleet_state, timers=timers)
        self.gossip = GossipProtocol(
            node=_node_section(name),
            section=GatewayPeersSection(),
            fleet_state=fleet_state,
            loads=self.loads,
            evidence=CrashEvidence(node=name, timers=timers),
            reports=reports,
            loans=RetryLoans(
                node=name,
                budget=NodeRetryBudget(ratio=0.0, slack=0.0, window=1.0),
                timers=timers,
                enabled=False,
            ),
            timers=timers,
            on_newer_revision=lambda revision: None,
            account_use=AccountUseReports(
                self.account_use, is_waiting=lambda: self.placer.waiting > 0
            ),
        )
        self.record = UpstreamRecord(
            failure_domain=DOMAIN,
            fleet_state=fleet_state,
            last_seen=self.gossip.last_seen,
            reports=reports,
            timers=timers,
        )
        self.candidates = CandidateList(
            node=name,
            failure_domain=DOMAIN,
            fleet_state=fleet_state,
            loads=self.loads,
            record=self.record,
            timers=timers,
        )
        self.placer = Placer(
            candidates=self.candidates,
            fleet_state=fleet_state,
            loads=self.loads,
            record=self.record,
            timers=timers,
            max_waiting=2000,
            source=source,
            use=self.account_use,
        )

    def _mark_publish_due(self) -> None:
        self.publish_due = True


def _node_section(name: str) -> GatewayNodeSection:
    return GatewayNodeSection(
        id=name,
        failure_domain=DOMAIN,
        callers=UNUSED_ADDRESS,
        readiness=UNUSED_ADDRESS,
        control=UNUSED_ADDRESS,
        news_port=9,
    )


@final
class PlacementSimulation:
    """Gateways that place requests on simulated engines; each arrival goes to the next gateway.

    ``slots`` is the number of requests that an engine serves at once. With ``seed`` the placers
    draw the same choices in each run. ``started`` counts the requests placed on each engine.
    Gossip arrives ``gossip_delay`` steps late, and ``gossip_loss`` of the messages do not.
    """

    __slots__ = (
        "_engines",
        "_gateway_cycle",
        "_gateways",
        "_gossip_delay",
        "_gossip_loss",
        "_late_gossip",
        "_losses",
        "_running",
        "_slots",
        "fleet_state",
        "outcomes",
        "started",
        "timers",
    )

    def __init__(
        self,
        engines: int,
        *,
        gateways: int = 1,
        slots: int = TYPICAL_ENGINE.slots,
        seed: int | None = None,
        gossip_delay: int = 0,
        gossip_loss: float = 0.0,
    ) -> None:
        seeds = random.Random(seed)
        self._losses = random.Random(seed)
        self._gossip_delay = gossip_delay
        self._gossip_loss = gossip_loss
        self._late_gossip: list[tuple[int, GossipMessage]] = []
        self._slots = slots
        # Requests of all gateways at each engine, as they are now.
        self._running: Counter[str] = Counter()
        self.timers = ManualTimers(start=100.0)
        self.fleet_state = FleetState(PlatformDocuments())
        for number in range(engines):
            name = f"i-{number}"
            address = f"10.0.{number // 250}.{number % 250}:80"
            self.fleet_state.upstreams[name] = ListedUpstream(
                name, SERVICE.name, address, DOMAIN, slots, False
            )
        self._engines = {
            name: SimulatedEngine(TYPICAL_ENGINE) for name in self.fleet_state.upstreams
        }
        self._gateways = [
            _Gateway(
                f"front-{number}",
                fleet_state=self.fleet_state,
                timers=self.timers,
                publish_step=number % PUBLISH_PERIOD_STEPS,
                source=random.Random(seeds.getrandbits(64)),
            )
            for number in range(gateways)
        ]
        self._gateway_cycle = itertools.cycle(self._gateways)
        self.outcomes: list[RequestOutcome] = []
        self.started: Counter[str] = Counter()

    @property
    def loads(self) -> LoadTracker:
        """The first gateway's load figures."""
        return self._gateways[0].loads

    @property
    def gossip(self) -> GossipProtocol:
        """The first gateway's gossip protocol."""
        return self._gateways[0].gossip

    @property
    def placer(self) -> Placer:
        """The first gateway's placer."""
        return self._gateways[0].placer

    @property
    def account_use(self) -> AccountUse:
        """The first gateway's record of the use of client accounts."""
        return self._gateways[0].account_use

    @property
    def record(self) -> UpstreamRecord:
        """The first gateway's record of upstreams."""
        return self._gateways[0].record

    @property
    def candidates(self) -> CandidateList:
        """The first gateway's candidates."""
        return self._gateways[0].candidates

    def request(
        self,
        tokens: int,
        *,
        route: Route | None = None,
        remaining: float | None = None,
        priority: int | None = None,
        account: str | None = None,
    ) -> PlacementRequest:
        """Return a request that arrives now, with ``remaining`` seconds to its deadline."""
        times = request_times(
            route or route_for(tokens),
            arrived=self.timers.now(),
            remaining=remaining,
            priority=priority,
        )
        return PlacementRequest(
            service=SERVICE,
            needs=RequestParameters(
                attempt="a", prompt_tokens=tokens, max_output_tokens=DEFAULT_OUTPUT_TOKENS
            ),
            times=times,
            excluded=frozenset(),
            account=account,
        )

    async def replay(self, arrivals: Iterable[Arrival], *, seconds: float) -> list[RequestOutcome]:
        """Replay arrivals for some seconds and return the outcomes recorded by then."""
        running = [asyncio.create_task(self._run_arrival(arrival)) for arrival in arrivals]
        for number in range(round(seconds / STEP_SECONDS)):
            await self.timers.advance(STEP_SECONDS)
            for engine in self._engines.values():
                engine.advance(self.timers.now())
            self._exchange_gossip(number)
            if number % QUEUE_CHECK_PERIOD_STEPS == 0:
                for gateway in self._gateways:
                    gateway.placer.serve_queues()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        return self.outcomes

    def _exchange_gossip(self, step: int) -> None:
        """Deliver the messages due at a step; the gateways don't publish at the same one."""
        for sender in self._gateways:
            if not (sender.publish_due or sender.publish_step == step % PUBLISH_PERIOD_STEPS):
                continue
            sender.publish_due = False
            delta = sender.gossip.next_message()
            if delta is not None:
                self._late_gossip.append((step + self._gossip_delay, delta))
        while self._late_gossip and self._late_gossip[0][0] <= step:
            message = self._late_gossip.pop(0)[1]
            for receiver in self._gateways:
                if self._losses.random() >= self._gossip_loss:
                    receiver.gossip.receive(message)

    async def _run_arrival(self, arrival: Arrival) -> None:
        await self.timers.sleep(arrival.at)
        gateway = next(self._gateway_cycle)
        while True:
            refusal = await self._place(arrival, gateway.placer)
            if refusal is None or not arrival.retries:
                return
            await self.timers.sleep(2 * STEP_SECONDS)

    async def _place(self, arrival: Arrival, placer: Placer) -> BaobabError | None:
        started_at = self.timers.now()
        try:
            request = self.request(
                arrival.tokens,
                route=arrival.route,
                priority=arrival.priority,
                account=arrival.account or None,
            )
            placement = await placer.place(request)
        except BaobabError as error:
            self.outcomes.append(
                RequestOutcome(
                    arrival,
                    code=error.code,
                    seconds=self.timers.now() - started_at,
                    retry_after=error.retry_after or 0.0,
                )
            )
            return error
        first = placement.upstream.id
        self._running[first] += 1
        self.started[first] += 1
        await self._execute(arrival, placement, placer, started_at)
        self._running[first] -= 1
        placer.end(placement)
        return None

    async def _execute(
        self, arrival: Arrival, placement: Placement, placer: Placer, started_at: float
    ) -> None:
        plan = placement.plan
        if plan is None:
            await self.timers.sleep(PLAIN_CALL_SECONDS)
            seconds = self.timers.now() - started_at
            self.outcomes.append(RequestOutcome(arrival, code="", seconds=seconds))
            return
        expected = self.timers.now() - started_at + plan.first_event_seconds
        beyond_slots = self._running[plan.first.id] > self._slots
        first = self._engines[plan.first.id]
        holders = [self._engines[engine.id] for engine in plan.helpers[: plan.tickets]]
        for holder in holders:
            holder.hold(plan.ticket_tokens)
        await self._prefill(arrival, placement)
        while not first.has_memory(plan.first_tokens):
            # Without memory for its result the prefill is lost, and is repeated once there is room.
            await self.timers.sleep(STEP_SECONDS)
            if first.has_memory(plan.first_tokens):
                await self._prefill(arrival, placement)
        first.hold(plan.first_tokens)
        placer.end_prefill(placement)
        seconds = self.timers.now() - started_at
        outcome = RequestOutcome(
            arrival, code="", seconds=seconds, expected=expected, beyond_slots=beyond_slots
        )
        self.outcomes.append(outcome)
        outcome.longest_pause = await self._decode(arrival, first, plan.first_tokens)
        first.hold(-plan.first_tokens)
        for holder in holders:
            holder.hold(-plan.ticket_tokens)

    async def _prefill(self, arrival: Arrival, placement: Placement) -> None:
        plan = placement.plan
        assert plan is not None
        now = self.timers.now()
        priority = arrival.route.priority if arrival.priority is None else arrival.priority
        chunks = []
        for engine in plan.engines:
            chunk_done: asyncio.Future[float] = asyncio.get_running_loop().create_future()
            chunks.append(chunk_done)
            job = PrefillJob(
                tokens=arrival.tokens / len(plan.engines),
                seconds=plan.part_seconds,
                is_chunk=bool(plan.helpers),
                priority=priority,
                on_finished=chunk_done.set_result,
            )
            self._engines[engine.id].add_prefill(job, now=now)
        await asyncio.gather(*chunks)

    async def _decode(self, arrival: Arrival, engine: SimulatedEngine, memory_tokens: int) -> float:
        """Generate the response and return the longest pause between its events in seconds."""
        finished: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        job = DecodeJob(
            tokens=arrival.output_tokens,
            memory_tokens=memory_tokens,
            started_at=self.timers.now(),
            on_finished=finished.set_result,
        )
        engine.add_decode(job, now=self.timers.now())
        await finished
        return job.longest_pause
