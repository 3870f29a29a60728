"""The stand-in engine's text: a deterministic function of prompt, seed and position.

A test that computes the text itself detects any wrong, crossed, repeated or missing token.
"""

from __future__ import annotations

from xxhash import xxh64_intdigest

from baobabpulley.model.blocks import chained_block_hashes
from baobabpulley.model.blocks import text_digest


def token_at(digest: int, seed: int, index: int) -> str:
    """Return one token: three hex digits and a space, 4 bytes."""
    return f"{xxh64_intdigest(index.to_bytes(8, 'big'), digest ^ seed) & 0xFFF:03x} "


def expected_text(prompt: str, *, seed: int, max_tokens: int) -> str:
    """Return the complete completion of a prompt."""
    data = prompt.encode()
    digest = text_digest(data, chained_block_hashes(data))
    return "".join(token_at(digest, seed, index) for index in range(max_tokens))


def make_prompt(*, tokens: int, seed: int, shared_prefix: str = "") -> str:
    """Return a prompt of exactly ``tokens`` tokens that starts with ``shared_prefix``."""
    size = tokens * 4 - len(shared_prefix)
    unit = f"{seed:08x}-{xxh64_intdigest(seed.to_bytes(8, 'big')):016x} line of a recipe book; "
    return (shared_prefix + unit * (size // len(unit) + 1))[: tokens * 4]
