"""Inject all kinds of faults into a fleet under load, and check the guarantees of the service."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any
from typing import Final

import msgspec

from baobabpulley.emulator.fault_injection import Injector
from baobabpulley.emulator.fault_load import ApiResponse
from baobabpulley.emulator.fault_load import FaultLoad
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.journals import journals
from baobabpulley.emulator.journals import services
from baobabpulley.emulator.journals import wait_for_memory_release
from baobabpulley.errors import BaobabError
from baobabpulley.model.limits import Limit

TEAM: Final = "souk"
RAISING_TEAM: Final = "stall"
ENGINE_MEMORY_TOKENS: Final = 60_000
# Prompt tokens and output tokens by kind of completion.
SHORT_PROMPT: Final = (1_000, 20)
LONG_PROMPT: Final = (20_000, 20)
GANG_PROMPT: Final = (75_000, 8)
SHORT_CALLERS: Final = 6
ORDER_CALLERS: Final = 4
# Model seconds until every entry must have the accepted limits, once the last fault has ended.
PROBE_TIMEOUT_SECONDS: Final = 60.0
PROBE_PERIOD_SECONDS: Final = 0.2


class FaultsReport(msgspec.Struct):
    """Result of one run.

    ``faults`` counts injected faults by kind, ``outcomes`` the calls by kind and code, and
    ``violations`` describes each guarantee that did not hold.
    """

    seed: int
    seconds: float
    faults: dict[str, int]
    outcomes: dict[str, dict[str, int]]
    orders: int
    violations: list[str]

    @property
    def completed(self) -> int:
        """The number of complete and correct completions."""
        return self.outcomes.get("completion", {}).get("ok", 0)


def faults_plan(*, base_port: int, speed: float) -> FleetPlan:
    """Return the plan of a fleet with three failure domains.

    An engine's memory is too small for the longest prompt, which needs a gang of engines.
    """
    return FleetPlan(
        base_port=base_port,
        speed=speed,
        entries=4,
        engines=9,
        plain_services=3,
        engine_options=("--memory", str(ENGINE_MEMORY_TOKENS), "--chunk", "1024"),
        limits={TEAM: Limit(100_000, 220_000), RAISING_TEAM: Limit(10_000, 20_000)},
        entry_sections={"lanes": {"short_tokens": "2000"}},
    )


async def run_faults(
    *, seed: int, seconds: float, mean_interval: float, speed: float, base_port: int
) -> FaultsReport:
    """Inject faults for ``seconds``, one per ``mean_interval`` on average; check all guarantees.

    Both are model seconds.
    """
    plan = faults_plan(base_port=base_port, speed=speed)
    with tempfile.TemporaryDirectory() as directory:
        async with Fleet(plan=plan, directory=Path(directory)) as fleet:
            injector = Injector(fleet, seed=seed)
            load = FaultLoad(fleet, injector, seed=seed)
            await _probe(fleet, load)
            load.outcomes.clear()
            calls = [asyncio.create_task(call) for call in _client_calls(load)]
            await injector.run(seconds=seconds, mean_interval=mean_interval)
            load.stop()
            await asyncio.gather(*calls)
            await _check_final_state(fleet, load)
            load.violations += [f"exit of {item}" for item in injector.failed_exits]
            load.close()
            return _report(seed, seconds, injector, load)


def render_report(report: FaultsReport) -> str:
    """Return the report as text."""
    lines = [f"seed {report.seed}, {report.seconds:.0f} model s, {report.orders} orders"]
    lines.append(f"faults: {_counts(report.faults)}")
    lines += [f"{kind}: {_counts(counts)}" for kind, counts in sorted(report.outcomes.items())]
    lines += [f"VIOLATED: {text}" for text in report.violations]
    return "\n".join([*lines, f"{len(report.violations)} violations"])


def check_order(id: str, replies: list[ApiResponse], run_count: int) -> list[str]:
    """Return the violations of an order that ran ``run_count`` times and had these replies.

    >>> check_order("a", [ApiResponse(status=503, ran=False, body=None)], 1)
    ['order a was refused as not run, and ran']
    """
    bodies = [reply.body for reply in replies if reply.status == 201]
    violations = []
    if run_count > 1:
        violations.append(f"order {id} ran {run_count} times")
    if any(body != bodies[0] for body in bodies):
        violations.append(f"order {id} got different responses")
    if bodies and not run_count:
        violations.append(f"order {id} got a response, but never ran")
    if run_count and all(reply.ran is False for reply in replies):
        violations.append(f"order {id} was refused as not run, and ran")
    return violations


def _client_calls(load: FaultLoad) -> list[Any]:
    short_callers = [
        load.complete(team=TEAM, tokens=SHORT_PROMPT[0], max_tokens=SHORT_PROMPT[1])
        for _ in range(SHORT_CALLERS)
    ]
    return [
        *short_callers,
        load.complete(team=TEAM, tokens=LONG_PROMPT[0], max_tokens=LONG_PROMPT[1]),
        load.complete(team=TEAM, tokens=LONG_PROMPT[0], max_tokens=LONG_PROMPT[1]),
        load.complete(team=TEAM, tokens=GANG_PROMPT[0], max_tokens=GANG_PROMPT[1]),
        *(load.order() for _ in range(ORDER_CALLERS)),
        load.look_up(),
        load.raise_limit(team=RAISING_TEAM),
        load.raise_limit(team=RAISING_TEAM),
        load.observe(team=RAISING_TEAM),
    ]


async def _check_final_state(fleet: Fleet, load: FaultLoad) -> None:
    """Check the guarantees that hold once all faults have ended and no call is in flight."""
    held = await wait_for_memory_release(fleet)
    if held:
        load.violations.append(f"engines still hold {held}")
    await _check_refused_completions(fleet, load)
    await _check_orders(fleet, load)
    await _check_limits(fleet, load)
    await _probe(fleet, load)


async def _check_refused_completions(fleet: Fleet, load: FaultLoad) -> None:
    for engine, journal in (await journals(fleet)).items():
        for line in journal["lines"]:
            if line["outcome"] == "started" and line.get("request") in load.not_run_requests:
                load.violations.append(f"{line['request']} ran on {engine}, refused as not run")


async def _check_orders(fleet: Fleet, load: FaultLoad) -> None:
    found = (await journals(fleet, services(fleet))).values()
    run_counts = Counter(line["order"]["id"] for journal in found for line in journal["lines"])
    for id, replies in load.orders.items():
        load.violations += check_order(id, replies, run_counts[id])


async def _check_limits(fleet: Fleet, load: FaultLoad) -> None:
    """Wait until every entry's limits cover those accepted; add a violation at the timeout."""
    for team, accepted in load.accepted_limits.items():
        for name, address in fleet.entries.items():
            remaining = PROBE_TIMEOUT_SECONDS
            while (view := await load.fetch_limit(address, team=team)) is None or not view[
                0
            ].covers(accepted):
                if remaining <= 0:
                    load.violations.append(f"{name} has {view} of {team}, accepted {accepted}")
                    break
                remaining -= PROBE_PERIOD_SECONDS
                await asyncio.sleep(PROBE_PERIOD_SECONDS / fleet.plan.speed)


async def _probe(fleet: Fleet, load: FaultLoad) -> None:
    """Check that each entry becomes ready and that prompts of all lengths are answered."""
    for name, address in fleet.entries.items():
        try:
            await fleet.wait_for(address, "/readyz")
        except BaobabError as error:
            load.violations.append(f"{name} is not ready: {error.message}")
    for tokens, max_tokens in (SHORT_PROMPT, LONG_PROMPT, GANG_PROMPT):
        if not await load.complete_once(team=TEAM, tokens=tokens, max_tokens=max_tokens):
            load.violations.append(f"no entry answers a prompt of {tokens} tokens")


def _report(seed: int, seconds: float, injector: Injector, load: FaultLoad) -> FaultsReport:
    outcomes: dict[str, dict[str, int]] = {}
    for (kind, code), count in sorted(load.outcomes.items()):
        outcomes.setdefault(kind, {})[code] = count
    return FaultsReport(
        seed=seed,
        seconds=seconds,
        faults=dict(sorted(injector.counts.items())),
        outcomes=outcomes,
        orders=len(load.orders),
        violations=load.violations,
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items())
