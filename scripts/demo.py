"""Start a small fleet, send it real prompts, print a table, stop everything."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec

from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import PLAIN_SERVICE
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

BASE_PORT = 21_000
SPEED = 4.0
MAX_TOKENS = 16
ORDER_TIMEOUT_SECONDS = 10.0
HTTP_CREATED = 201
# Entries take turns, so that the longest goes to one of the second failure domain.
PROMPT_TOKENS = (1_000, 1_000, 1_000, 8_000, 8_000, 1_000_000, 100_000, 32_000)
# Engines of 400,000 tokens: only the three of the first failure domain together hold the longest
# prompt, so that its entry passes it there.
ENGINE_DOMAINS = ("fes", "fes", "fes", "meknes", "meknes", "rabat")
MAX_ATTEMPTS = 5
# The keepers of a fleet that has just started grant nothing for one lease time (model seconds).
START_UP_SECONDS = 5.0


async def main() -> int:
    """Return 0 only if every answer is whole and right."""
    with tempfile.TemporaryDirectory() as directory:
        plan = FleetPlan(
            base_port=BASE_PORT,
            speed=SPEED,
            engines=len(ENGINE_DOMAINS),
            engine_domains=ENGINE_DOMAINS,
        )
        async with Fleet(plan=plan, directory=Path(directory)) as fleet:
            print(f"{len(fleet.processes)} processes are up")
            await asyncio.sleep(START_UP_SECONDS / SPEED)
            wrong = await send_prompts(fleet)
            return wrong or await place_order(fleet)


async def send_prompts(fleet: Fleet) -> int:
    """Send one prompt of each length, all at once, over all entries."""
    caller = Caller(token=caller_token("souk"), model=MODEL)
    entries = [f"entry-{index % len(fleet.entries)}" for index in range(len(PROMPT_TOKENS))]
    prompts = [make_prompt(tokens=size, seed=index) for index, size in enumerate(PROMPT_TOKENS)]
    answers = await asyncio.gather(
        *(
            send_with_retries(caller, fleet.entries[entry], prompt, seed=index)
            for index, (entry, prompt) in enumerate(zip(entries, prompts, strict=True))
        )
    )
    whole = [
        is_correct(prompt, answer, seed=index)
        for index, (prompt, answer) in enumerate(zip(prompts, answers, strict=True))
    ]
    print(f"{'tokens':>9} {'through':>9} {'first token, model s':>21} {'answer':>8}")
    for size, entry, answer, right in sorted(
        zip(PROMPT_TOKENS, entries, answers, whole, strict=True), key=lambda row: row[:2]
    ):
        first = (answer.first_token or 0.0) * SPEED
        outcome = "whole" if right else answer.code or "WRONG"
        print(f"{size:>9} {entry:>9} {first:>21.3f} {outcome:>8}")
    return 0 if all(whole) else 1


async def send_with_retries(caller: Caller, address: str, prompt: str, *, seed: int) -> Completion:
    """Send a prompt, and again after a pause if it was refused as not run."""
    for _ in range(MAX_ATTEMPTS):
        answer = await caller.complete(address, prompt=prompt, max_tokens=MAX_TOKENS, seed=seed)
        if answer.ran is not False:
            break
        await asyncio.sleep(1.0 / SPEED)
    return answer


async def place_order(fleet: Fleet) -> int:
    """Place one order through an entry; return 0 only if it ran exactly once."""
    address = next(iter(fleet.entries.values()))
    order = {"spice": "cumin", "kilograms": 2}
    status, body = await fetch(
        fleet.client,
        address=address,
        method="POST",
        path=f"/services/{PLAIN_SERVICE}/orders",
        body=msgspec.json.encode(order),
        headers={"Authorization": f"Bearer {caller_token('souk')}"},
        timeout=ORDER_TIMEOUT_SECONDS,
    )
    ran = await fleet.request(fleet.address_of("service-0"), "GET", "/journal")
    once = [line["order"] for line in ran["lines"]] == [order]
    right = status == HTTP_CREATED and once
    print(f"order: status {status}, {'ran once' if right else f'WRONG: {body!r}'}")
    return 0 if right else 1


def is_correct(prompt: str, answer: Completion, *, seed: int) -> bool:
    """Whether an answer is the engine's own text for the prompt, from its first token to last."""
    return answer.ok and answer.text == expected_text(prompt, seed=seed, max_tokens=MAX_TOKENS)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
