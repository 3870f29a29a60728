"""Seeded open-loop traces: Poisson arrivals of prompts of widely varying lengths."""

from __future__ import annotations

from typing import Final
from typing import final

import msgspec
import numpy as np

MAX_SHORT_PROMPT_TOKENS: Final = 8_000
MIN_SHORT_PROMPT_TOKENS: Final = 200
MEDIAN_SHORT_PROMPT_TOKENS: Final = 2_600
SHORT_PROMPT_LOG_SIGMA: Final = 0.6
MIN_LONG_PROMPT_TOKENS: Final = 100_000
PARETO_SHAPE: Final = 1.2
TEAM_SHARES: Final = (0.35, 0.2, 0.15, 0.06, 0.06, 0.06, 0.04, 0.04, 0.02, 0.02)
PREFIX_TOKENS: Final = 2_048


class TraceItem(msgspec.Struct, frozen=True):
    """One request, sent ``at`` model seconds after the start, with ``tokens`` prompt tokens.

    ``prefix`` is the index of a shared prefix, or -1 for none. ``content`` is the seed of the rest
    of the text.
    """

    index: int
    at: float
    tokens: int
    entry: str
    team: str
    content: int
    prefix: int = -1

    @property
    def short(self) -> bool:
        """Whether the prompt counts as short."""
        return self.tokens <= MAX_SHORT_PROMPT_TOKENS


@final
class PromptMix:
    """The distribution of prompts in a trace.

    ``long_share`` of the prompts are long, with a bounded Pareto distribution from 100,000 tokens
    to ``longest``; ``middle_share`` are log-uniform between short and long; the rest are short and
    lognormal. ``prefix_share`` of the prompts begin with one of ``prefixes`` shared prefixes.
    """

    __slots__ = ("long_share", "longest", "middle_share", "prefix_share", "prefixes")

    def __init__(
        self,
        *,
        long_share: float = 0.02,
        middle_share: float = 0.01,
        longest: int = 350_000,
        prefix_share: float = 0.0,
        prefixes: int = 40,
    ) -> None:
        self.long_share = long_share
        self.middle_share = middle_share
        self.longest = longest
        self.prefix_share = prefix_share
        self.prefixes = prefixes


def team_names() -> tuple[str, ...]:
    """Return the client accounts of a trace, the one with the most traffic first."""
    return tuple(f"stall-{index}" for index in range(len(TEAM_SHARES)))


def make_trace(
    *,
    seed: int,
    seconds: float,
    tokens_per_second: float,
    entries: dict[str, float],
    mix: PromptMix,
) -> list[TraceItem]:
    """Return a trace of ``seconds`` whose prompts add up to ``tokens_per_second``.

    ``entries`` maps entry names to the weights by which the balancer spreads requests.
    """
    rng = np.random.default_rng(seed)
    lengths: list[int] = []
    remaining_tokens = seconds * tokens_per_second
    while remaining_tokens > 0:
        length = _length(rng, mix)
        lengths.append(length)
        remaining_tokens -= length
    count = len(lengths)
    times = np.sort(rng.uniform(0.0, seconds, count))
    names = list(entries)
    weights = np.array([entries[name] for name in names])
    chosen = rng.choice(len(names), count, p=weights / weights.sum())
    teams = rng.choice(len(TEAM_SHARES), count, p=TEAM_SHARES)
    shared = rng.random(count) < mix.prefix_share
    prefixes = rng.zipf(1.3, count) % mix.prefixes
    return [
        TraceItem(
            index=index,
            at=float(times[index]),
            tokens=lengths[index],
            entry=names[int(chosen[index])],
            team=team_names()[int(teams[index])],
            content=seed * 10_000_000 + index,
            prefix=_prefix(lengths[index], bool(shared[index]), int(prefixes[index])),
        )
        for index in range(count)
    ]


def without_long_prompts(trace: list[TraceItem]) -> list[TraceItem]:
    """Return the short items of a trace, with new texts of the same lengths and shared prefixes."""
    return [
        msgspec.structs.replace(item, content=item.content + 5_000_000)
        for item in trace
        if item.short
    ]


def _length(rng: np.random.Generator, mix: PromptMix) -> int:
    draw = rng.random()
    if draw < mix.long_share:
        bounded = 1.0 - (MIN_LONG_PROMPT_TOKENS / mix.longest) ** PARETO_SHAPE
        return int(MIN_LONG_PROMPT_TOKENS * (1.0 - rng.random() * bounded) ** (-1.0 / PARETO_SHAPE))
    if draw < mix.long_share + mix.middle_share:
        return int(
            np.exp(rng.uniform(np.log(MAX_SHORT_PROMPT_TOKENS + 1), np.log(MIN_LONG_PROMPT_TOKENS)))
        )
    length = rng.lognormal(np.log(MEDIAN_SHORT_PROMPT_TOKENS), SHORT_PROMPT_LOG_SIGMA)
    return int(np.clip(length, MIN_SHORT_PROMPT_TOKENS, MAX_SHORT_PROMPT_TOKENS))


def _prefix(tokens: int, shared: bool, prefix: int) -> int:
    return prefix if shared and tokens > PREFIX_TOKENS else -1
