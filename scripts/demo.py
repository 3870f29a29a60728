"""Start a small fleet, send it real prompts, print a table, stop everything."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import FleetPlan
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

BASE_PORT = 21_000
SPEED = 4.0
MAX_TOKENS = 16
LENGTHS = (1_000, 1_000, 1_000, 8_000, 8_000, 32_000, 100_000)


async def main() -> int:
    """Return 0 only if every answer is whole and right."""
    with tempfile.TemporaryDirectory() as directory:
        plan = FleetPlan(base_port=BASE_PORT, speed=SPEED)
        async with Fleet(plan=plan, directory=Path(directory)) as fleet:
            print(f"{len(fleet.processes)} processes are up")
            return await send_prompts(fleet)


async def send_prompts(fleet: Fleet) -> int:
    """Send one prompt of each length, all at once, over all entries."""
    caller = Caller(token=caller_token("souk"), model=MODEL)
    addresses = list(fleet.entries.values())
    prompts = [make_prompt(tokens=size, seed=index) for index, size in enumerate(LENGTHS)]
    answers = await asyncio.gather(
        *(
            caller.complete(
                addresses[index % len(addresses)],
                prompt=prompt,
                max_tokens=MAX_TOKENS,
                seed=index,
            )
            for index, prompt in enumerate(prompts)
        )
    )
    wrong = 0
    print(f"{'tokens':>9} {'first token, model s':>21} {'answer':>8}")
    for index, (size, prompt, answer) in enumerate(zip(LENGTHS, prompts, answers, strict=True)):
        right = is_right(prompt, answer, seed=index)
        wrong += not right
        first = (answer.first_token or 0.0) * SPEED
        print(f"{size:>9} {first:>21.3f} {'whole' if right else answer.code or 'WRONG':>8}")
    return 1 if wrong else 0


def is_right(prompt: str, answer: Completion, *, seed: int) -> bool:
    """Whether an answer is the engine's own text for the prompt, from its first token to last."""
    return answer.ok and answer.text == expected_text(prompt, seed=seed, max_tokens=MAX_TOKENS)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
