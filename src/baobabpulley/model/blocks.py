"""Chained hashes of prompt blocks, with which engines identify the content of prefix caches.

A block is 512 tokens of 4 bytes. Its hash is XXH64, seeded with the hash of the previous block,
so two equal hashes identify the same prefix and not only the same block.
"""

from __future__ import annotations

from typing import Final

from xxhash import xxh64_intdigest

from baobabpulley.model.requests import BYTES_PER_TOKEN

BLOCK_TOKENS: Final = 512
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN


def chained_block_hashes(data: bytes, *, seed: int = 0) -> tuple[int, ...]:
    """Return the hashes of all full blocks of ``data``; ``seed`` is the hash of the preceding text.

    >>> len(chained_block_hashes(b"x" * 4100))
    2
    """
    hashes = []
    view = memoryview(data)
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxh64_intdigest(view[start : start + BLOCK_BYTES], seed)
        hashes.append(seed)
    return tuple(hashes)


def text_digest(data: bytes, blocks: tuple[int, ...], *, seed: int = 0) -> int:
    """Return the hash of a text from its block hashes ``blocks`` and its last, partial block."""
    last = blocks[-1] if blocks else seed
    return xxh64_intdigest(data[len(blocks) * BLOCK_BYTES :], last)
