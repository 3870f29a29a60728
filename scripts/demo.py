"""Start a small fleet, send prompts and an order to it, print the results and stop it."""

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
# Prompts go to the entries in round-robin order, so that the longest one reaches an entry of the
# second failure domain.
PROMPT_TOKENS = (1_000, 1_000, 1_000, 8_000, 8_000, 1_000_000, 100_000, 32_000)
# Each engine holds 400,000 tokens: only the three of the first failure domain together can hold the
# longest prompt, so that the entry that receives it forwards it to that domain.
ENGINE_DOMAINS = ("fes", "fes", "fes", "meknes", "meknes", "rabat")
MAX_ATTEMPTS = 5
# In model seconds. Keepers grant nothing for the duration of one lease after their start.
START_UP_SECONDS = 5.0


async def main() -> int:
    """Return 0 only if every response is complete and correct."""
    with tempfile.TemporaryDirectory() as directory:
        plan = FleetPlan(
            base_port=BASE_PORT,
            speed=SPEED,
            engines=len(ENGINE_DOMAINS),
            engine_domains=ENGINE_DOMAINS,
        )
        async with Fleet(plan=plan, directory=Path(directory)) as fleet:
            print(f"{len(fleet.processes)} processes are running")
            await asyncio.sleep(START_UP_SECONDS / SPEED)
            exit_code = await send_prompts(fleet)
            return exit_code or await place_order(fleet)


async def send_prompts(fleet: Fleet) -> int:
    """Send all prompts at once, spread over the entries; return 0 if all responses are correct."""
    caller = Caller(token=caller_token("souk"), model=MODEL)
    entries = [f"entry-{index % len(fleet.entries)}" for index in range(len(PROMPT_TOKENS))]
    prompts = [make_prompt(tokens=size, seed=index) for index, size in enumerate(PROMPT_TOKENS)]
    responses = await asyncio.gather(
        *(
            send_with_retries(caller, fleet.entries[entry], prompt, seed=index)
            for index, (entry, prompt) in enumerate(zip(entries, prompts, strict=True))
        )
    )
    correct = [
        is_correct(prompt, response, seed=index)
        for index, (prompt, response) in enumerate(zip(prompts, responses, strict=True))
    ]
    print(f"{'tokens':>9} {'entry':>9} {'first token, model s':>21} {'response':>8}")
    for size, entry, response, ok in sorted(
        zip(PROMPT_TOKENS, entries, responses, correct, strict=True), key=lambda row: row[:2]
    ):
        first = (response.first_token or 0.0) * SPEED
        outcome = "correct" if ok else response.code or "WRONG"
        print(f"{size:>9} {entry:>9} {first:>21.3f} {outcome:>8}")
    return 0 if all(correct) else 1


async def send_with_retries(caller: Caller, address: str, prompt: str, *, seed: int) -> Completion:
    """Send a prompt; retry after a pause if it was refused without being run."""
    for _ in range(MAX_ATTEMPTS):
        response = await caller.complete(address, prompt=prompt, max_tokens=MAX_TOKENS, seed=seed)
        if response.ran is not False:
            break
        await asyncio.sleep(1.0 / SPEED)
    return response


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
    journal = await fleet.request(fleet.address_of("service-0"), "GET", "/journal")
    ran_once = [line["order"] for line in journal["lines"]] == [order]
    succeeded = status == HTTP_CREATED and ran_once
    print(f"order: status {status}, {'ran once' if succeeded else f'WRONG: {body!r}'}")
    return 0 if succeeded else 1


def is_correct(prompt: str, response: Completion, *, seed: int) -> bool:
    """Whether a response is the complete text that an engine generates for the prompt."""
    return response.ok and response.text == expected_text(prompt, seed=seed, max_tokens=MAX_TOKENS)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
