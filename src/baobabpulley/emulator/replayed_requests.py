"""Requests that a placement simulation replays, and their outcomes."""

from __future__ import annotations

from typing import Final
from typing import final

from baobabpulley.model.routes import STREAM
from baobabpulley.model.routes import Route

DEFAULT_OUTPUT_TOKENS: Final = 1300
SHORT_ROUTE: Final = Route("draft", "h", "/", STREAM, 10.0, 0.3, 1, (), 2, False, True, 0.25)
MIDDLE_ROUTE: Final = Route("review", "h", "/", STREAM, 10.0, 1.5, 1, (), 2, False, True, 0.6)
LONG_ROUTE: Final = Route("archive", "h", "/", STREAM, 15.0, 3.0, 1, (), 2, False, True, 1.0)
MAX_SHORT_PROMPT_TOKENS, MAX_MIDDLE_PROMPT_TOKENS = 20_000, 60_000


@final
class Arrival:
    """A request that arrives ``at`` seconds after the start of a replay.

    Without ``tokens`` it is a plain call. ``account`` may be empty. With ``retries`` the request is
    sent again 25 ms after each refusal, whatever its ``retry_after``.
    """

    __slots__ = ("account", "at", "output_tokens", "priority", "retries", "route", "tokens")

    def __init__(
        self,
        at: float,
        tokens: int,
        *,
        account: str = "",
        retries: bool = False,
        priority: int | None = None,
        route: Route | None = None,
        output_tokens: int = DEFAULT_OUTPUT_TOKENS,
    ) -> None:
        self.at = at
        self.tokens = tokens
        self.account = account
        self.retries = retries
        self.priority = priority
        self.route = route or route_for(tokens)
        self.output_tokens = output_tokens


@final
class RequestOutcome:
    """The result of one arrival. Durations are in seconds.

    ``seconds`` is the time to the first event or, if ``code`` is set, to the refusal;
    ``expected`` is the time to the first event that the placer predicted, and ``longest_pause``
    the longest time between two events of the response. ``beyond_slots`` is whether all slots of
    the engine were taken when the request was placed there.
    """

    __slots__ = (
        "arrival",
        "beyond_slots",
        "code",
        "expected",
        "longest_pause",
        "retry_after",
        "seconds",
    )

    def __init__(
        self,
        arrival: Arrival,
        *,
        code: str,
        seconds: float,
        retry_after: float = 0.0,
        expected: float = 0.0,
        beyond_slots: bool = False,
    ) -> None:
        self.arrival = arrival
        self.beyond_slots = beyond_slots
        self.code = code
        self.seconds = seconds
        self.retry_after = retry_after
        self.expected = expected
        self.longest_pause = 0.0

    @property
    def on_time(self) -> bool:
        """Whether the first event and every pause met the objectives of the route."""
        route = self.arrival.route
        within = self.seconds <= route.objective and self.longest_pause <= route.pause_objective
        return not self.code and within


def route_for(tokens: int) -> Route:
    """Return the route that serves prompts of a length."""
    if tokens <= MAX_SHORT_PROMPT_TOKENS:
        return SHORT_ROUTE
    return MIDDLE_ROUTE if tokens <= MAX_MIDDLE_PROMPT_TOKENS else LONG_ROUTE
