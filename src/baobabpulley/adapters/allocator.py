"""Let the C library return large blocks of memory to the kernel as soon as they are freed."""

from __future__ import annotations

import ctypes
from typing import Final

# From malloc.h of glibc.
_M_MMAP_THRESHOLD: Final = -3
# glibc raises its own threshold to the largest block that was freed, up to 32 MiB; blocks below it
# share a heap that is returned only from its end.
LARGE_BLOCK_BYTES: Final = 131_072


def return_large_blocks() -> bool:
    """Map each large block on its own; return whether the C library can do so."""
    try:
        return bool(ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
    except (OSError, AttributeError):
        return False
