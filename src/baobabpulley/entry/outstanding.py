"""Attempts that this entry has sent to each upstream, to correct load reports for their lag."""

from __future__ import annotations

from collections import defaultdict
from typing import Final
from typing import final

from baobabpulley.model.fleet_view import TimedLoad
from baobabpulley.ports.engine import PRIORITY_SHORT

# Attempts that ended longer ago are dropped even if no load report has arrived since.
HISTORY_SECONDS: Final = 10.0


@final
class DispatchedAttempt:
    """One attempt: its uncached prefill tokens, memory in tokens, priority and times.

    ``prefilled_at`` and ``ended_at`` are ``None`` until the prefill or the attempt has ended.
    """

    __slots__ = ("ended_at", "memory", "prefilled_at", "priority", "sent_at", "tokens")

    def __init__(self, *, tokens: int, memory: int, priority: int, sent_at: float) -> None:
        self.tokens = tokens
        self.memory = memory
        self.priority = priority
        self.sent_at = sent_at
        self.prefilled_at: float | None = None
        self.ended_at: float | None = None


@final
class UpstreamEstimate:
    """Estimated load of one upstream, as a new attempt of some priority would find it.

    ``ahead_tokens`` are the prefill tokens queued ahead of it, ``in_flight`` this entry's running
    attempts, ``long_prefills`` the prefills below the priority of short requests, and
    ``memory_free`` the free memory in tokens.
    """

    __slots__ = ("ahead_tokens", "in_flight", "long_prefills", "memory_free")

    def __init__(
        self,
        *,
        ahead_tokens: float,
        in_flight: int,
        long_prefills: int = 0,
        memory_free: float = float("inf"),
    ) -> None:
        self.ahead_tokens = ahead_tokens
        self.in_flight = in_flight
        self.long_prefills = long_prefills
        self.memory_free = memory_free


@final
class OutstandingAttempts:
    """This entry's attempts by upstream; times are model seconds.

    With ``corrected`` false the load reports are used as they are.
    """

    __slots__ = ("_attempts", "_corrected")

    def __init__(self, *, corrected: bool = True) -> None:
        self._corrected = corrected
        self._attempts: dict[str, list[DispatchedAttempt]] = defaultdict(list)

    def record_dispatch(
        self, upstream: str, attempt: DispatchedAttempt, *, load: TimedLoad | None = None
    ) -> None:
        """Add an attempt, and drop those that ended before the newest load report."""
        horizon = attempt.sent_at - HISTORY_SECONDS
        if load is not None:
            horizon = max(horizon, load.measured_at)
        retained = [
            earlier
            for earlier in self._attempts[upstream]
            if earlier.ended_at is None or earlier.ended_at > horizon
        ]
        retained.append(attempt)
        self._attempts[upstream] = retained

    def ahead_tokens(
        self, upstream: str, load: TimedLoad | None, *, priority: int, now: float, rate: float
    ) -> float:
        """Estimate the prefill tokens that a new attempt of ``priority`` would wait for."""
        return self.estimate(upstream, load, priority=priority, now=now, rate=rate).ahead_tokens

    def long_prefills(self, upstream: str, load: TimedLoad | None, *, now: float) -> int:
        """Estimate the number of prefills below the priority of short requests."""
        estimate = self.estimate(upstream, load, priority=PRIORITY_SHORT, now=now, rate=0.0)
        return estimate.long_prefills

    def memory_free(self, upstream: str, load: TimedLoad | None) -> float:
        """Estimate the free memory in tokens; infinite until the first report."""
        estimate = self.estimate(upstream, load, priority=PRIORITY_SHORT, now=0.0, rate=0.0)
        return estimate.memory_free

    def estimate(
        self, upstream: str, load: TimedLoad | None, *, priority: int, now: float, rate: float
    ) -> UpstreamEstimate:
        """Return all estimates for a new attempt of ``priority``, in one pass over the attempts."""
        measured = float("-inf") if load is None else load.measured_at
        tally = _Tally()
        for attempt in self._attempts.get(upstream, ()):
            ended = attempt.ended_at
            if ended is None:
                tally.in_flight += 1
                tally.memory += attempt.memory if attempt.sent_at > measured else 0
            elif attempt.sent_at <= measured < ended:
                tally.memory -= attempt.memory
            done = _prefill_end(attempt)
            if attempt.sent_at <= now < done:
                tally.now.add(attempt, priority)
                tally.remaining += _remaining(attempt, now, rate)
            if attempt.sent_at <= measured < done:
                tally.measured.add(attempt, priority)
        if not self._corrected:
            return _as_reported(tally, load, priority)
        return _corrected(tally, load, priority, drained=rate * max(0.0, now - measured))


class _Prefills:
    """Counts of the prefills that run or wait at one point in time."""

    __slots__ = ("long_prefills", "tokens")

    def __init__(self) -> None:
        self.long_prefills = 0
        self.tokens = 0

    def add(self, attempt: DispatchedAttempt, priority: int) -> None:
        """Add an attempt.

        Its tokens count only if a new attempt of ``priority`` would wait for them.
        """
        self.long_prefills += attempt.priority > PRIORITY_SHORT
        self.tokens += attempt.tokens if attempt.priority <= priority else 0


class _Tally:
    """Sums over this entry's attempts at one upstream.

    ``now`` and ``measured`` count the prefills now and when the upstream's load was measured,
    ``memory`` is the change since the report in tokens, ``remaining`` the prefill tokens that are
    still to be processed.
    """

    __slots__ = ("in_flight", "measured", "memory", "now", "remaining")

    def __init__(self) -> None:
        self.in_flight = 0
        self.memory = 0
        self.remaining = 0.0
        self.now = _Prefills()
        self.measured = _Prefills()


def _prefill_end(attempt: DispatchedAttempt) -> float:
    """Return when an attempt's prefill was completed or aborted; infinite if it is running."""
    if attempt.prefilled_at is None:
        return float("inf") if attempt.ended_at is None else attempt.ended_at
    return (
        attempt.prefilled_at
        if attempt.ended_at is None
        else min(attempt.prefilled_at, attempt.ended_at)
    )


def _remaining(attempt: DispatchedAttempt, now: float, rate: float) -> float:
    done = rate * (now - attempt.sent_at) if attempt.priority > PRIORITY_SHORT else 0.0
    return max(0.0, attempt.tokens - done)


def _as_reported(tally: _Tally, load: TimedLoad | None, priority: int) -> UpstreamEstimate:
    if load is None:
        return UpstreamEstimate(ahead_tokens=0.0, in_flight=tally.in_flight)
    return UpstreamEstimate(
        ahead_tokens=float(_queued(load, priority)),
        in_flight=tally.in_flight,
        long_prefills=load.report.long_prefills,
        memory_free=float(_reported_free(load)),
    )


def _corrected(
    tally: _Tally, load: TimedLoad | None, priority: int, *, drained: float
) -> UpstreamEstimate:
    own = tally.now
    if load is None:
        return UpstreamEstimate(
            ahead_tokens=float(own.tokens),
            in_flight=tally.in_flight,
            long_prefills=own.long_prefills,
        )
    others = max(0.0, _queued(load, priority) - tally.measured.tokens - drained)
    return UpstreamEstimate(
        ahead_tokens=others + (own.tokens if priority <= PRIORITY_SHORT else tally.remaining),
        in_flight=tally.in_flight,
        long_prefills=own.long_prefills
        + max(0, load.report.long_prefills - tally.measured.long_prefills),
        memory_free=float(_reported_free(load) - tally.memory),
    )


def _queued(load: TimedLoad, priority: int) -> int:
    return load.report.queued_high if priority <= PRIORITY_SHORT else load.report.queued


def _reported_free(load: TimedLoad) -> int:
    return load.report.memory_total - load.report.memory_held
