"""What a gateway holds for its callers, and what is refused or closed near the machine's limits.

The load: hundreds of callers that send bodies of 4 MiB without their end, and read streams of 8 MB
or whole answers of 16 MiB slowly or never, at a gateway of 200 MB and 4,100 descriptors.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import Protocol
from typing import TypeVar
from typing import final

MB: Final = 1_000_000
# A gateway takes 36 MB at rest; the rest is for the state of the fleet, transient copies and the
# kernel's socket buffers.
PROCESS_BYTES: Final = 72 * MB
# Python and the allocator return memory late, so that less than the rest is given out.
USABLE_PERCENT: Final = 60
# So much is given out however small the machine is.
MIN_LIMIT_BYTES: Final = 12 * MB
# Bodies larger than this leave a share of the memory to smaller ones, and answers larger than this
# are read only once there is memory for all of them.
SMALL_BYTES: Final = 65_536
LARGE_BODIES_PERCENT: Final = 85
# What one stream may hold that its caller hasn't read: a share of the free memory, within bounds.
UNREAD_SHARE: Final = 24
MIN_UNREAD_BYTES: Final = 32 * 1024
MAX_UNREAD_BYTES: Final = 1024 * 1024
# Streams, task and objects of one open connection, 6 KB measured.
CONNECTION_BYTES: Final = 8_192
# What the stream of an upstream's connection reads ahead of its reader, and its objects.
UPSTREAM_BYTES: Final = 73_728
# The share of the memory that open connections alone may take.
CONNECTIONS_SHARE: Final = 4
# The store, peers, probes, logs and listening sockets.
OWN_DESCRIPTORS: Final = 64
# A served connection needs a second descriptor for its upstream.
DESCRIPTORS_PER_CALLER: Final = 2
# An answer is held twice while its parts are joined.
ANSWER_COPIES: Final = 2
# A caller that has read nothing for this long may be closed if memory is short.
STALLED_SECONDS: Final = 2.0
# A connection without a request is not closed for a new one before this age.
MIN_IDLE_SECONDS: Final = 0.5
UNLIMITED: Final = 1 << 60


class Held(Protocol):
    """Something that memory is held for."""

    @property
    def held_bytes(self) -> int:
        """Memory that is free once this is refused or closed."""

    @property
    def progress_at(self) -> float:
        """When it last made progress, in monotonic seconds."""


H = TypeVar("H", bound=Held)


@final
class MemoryBudget:
    """Count what is held, and decide what there is room for.

    ``machine_mb`` and ``descriptors`` are what the machine allows the process; 0 is no limit.
    """

    __slots__ = (
        "_answers",
        "_large_bodies_bytes",
        "answers_waiting",
        "limit_bytes",
        "max_connections",
        "used_bytes",
    )

    def __init__(self, *, machine_mb: int = 0, descriptors: int = 0) -> None:
        self.used_bytes = 0
        self._answers = 0
        self.answers_waiting = 0
        self.configure(machine_mb=machine_mb, descriptors=descriptors)

    @property
    def is_short(self) -> bool:
        """Whether callers that read nothing have to be closed."""
        return self.answers_waiting > 0 or self.is_crowded

    @property
    def is_crowded(self) -> bool:
        """Whether large bodies have no room."""
        return self.used_bytes > self._large_bodies_bytes

    @property
    def max_unread_bytes(self) -> int:
        """What one stream may hold now before its upstream isn't read further."""
        share = (self.limit_bytes - self.used_bytes) // UNREAD_SHARE
        return max(MIN_UNREAD_BYTES, min(share, MAX_UNREAD_BYTES))

    def configure(self, *, machine_mb: int, descriptors: int) -> None:
        """Apply new limits; what is held already stays."""
        usable = (machine_mb * MB - PROCESS_BYTES) * USABLE_PERCENT // 100
        self.limit_bytes = max(MIN_LIMIT_BYTES, usable) if machine_mb else UNLIMITED
        self._large_bodies_bytes = self.limit_bytes * LARGE_BODIES_PERCENT // 100
        callers = max(1, (descriptors - OWN_DESCRIPTORS) // DESCRIPTORS_PER_CALLER)
        self.max_connections = min(
            callers if descriptors else UNLIMITED,
            self.limit_bytes // CONNECTIONS_SHARE // CONNECTION_BYTES,
        )

    def change(self, size: int) -> None:
        """Count memory that is held from now on, or is free if ``size`` is negative."""
        self.used_bytes += size

    def fits_body(self, size: int) -> bool:
        """Whether a body that has grown to ``size`` bytes, which are counted, may stay."""
        return self.used_bytes <= (
            self.limit_bytes if size <= SMALL_BYTES else self._large_bodies_bytes
        )

    def fits_connections(self, count: int) -> bool:
        """Whether another caller may connect beside ``count`` open connections."""
        return count < self.max_connections

    def reserve_answer(self, size: int) -> bool:
        """Reserve memory for a whole answer if there is room; end it with `release_answer`.

        An answer larger than the budget is read alone, while little else is held.
        """
        needed = ANSWER_COPIES * size
        is_quiet = not self._answers and self.used_bytes <= self.limit_bytes // 4
        if self.used_bytes + needed > self.limit_bytes and not is_quiet:
            return False
        self._answers += 1
        self.used_bytes += needed
        return True

    def release_answer(self, size: int) -> None:
        """Release what `reserve_answer` reserved for an answer of this size."""
        self._answers -= 1
        self.used_bytes -= ANSWER_COPIES * size


def first_to_evict(holders: Iterable[H], *, now: float) -> H | None:
    """Return which is refused or closed first: it holds most and has made least progress."""
    return max(
        holders,
        key=lambda held: held.held_bytes * (1.0 + max(0.0, now - held.progress_at)),
        default=None,
    )


def is_stalled(held: Held, *, now: float) -> bool:
    """Whether something has made no progress for so long that it may be closed."""
    return now - held.progress_at >= STALLED_SECONDS
