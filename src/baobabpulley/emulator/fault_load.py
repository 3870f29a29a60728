"""Callers and operators that keep sending during faults, and record violated guarantees."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections import Counter
from typing import Any
from typing import Final
from typing import final

import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.emulator.caller import Caller
from baobabpulley.emulator.caller import Completion
from baobabpulley.emulator.fault_injection import Injector
from baobabpulley.emulator.fleet import MODEL
from baobabpulley.emulator.fleet import PLAIN_SERVICE
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.emulator.fleet import caller_token
from baobabpulley.emulator.fleet import operator_token
from baobabpulley.entry.callers import CallersSection
from baobabpulley.entry.claims import IDEMPOTENCY_HEADER
from baobabpulley.entry.operators import CHANGE_ID_HEADER
from baobabpulley.entry.tickets import TICKET_HEADER
from baobabpulley.errors import BaobabError
from baobabpulley.model.limits import Limit
from baobabpulley.standins.text import expected_text
from baobabpulley.standins.text import make_prompt

MAX_ATTEMPTS: Final = 6
# Real seconds that a caller waits beyond the deadline of the entry.
GRACE_SECONDS: Final = 5.0
ENTRY_DEFAULTS: Final = CallersSection()
CALL_TIMEOUT_SECONDS: Final = 10.0
# Pauses are in model seconds, with a jitter of 50%.
RETRY_PAUSE_SECONDS: Final = 1.0
CALL_PAUSE_SECONDS: Final = 0.3
RAISE_PAUSE_SECONDS: Final = 2.0
OBSERVE_PAUSE_SECONDS: Final = 0.5
RAISE_STEP_TOKENS: Final = 1_000
RESUMABLE_CODES: Final = frozenset({"connection", "cut"})


@final
class ApiResponse:
    """The response to one request.

    ``status`` is 0 if there was none; ``body`` is then the code of the error. ``ran`` is ``None``
    if it is unknown whether the request was executed.
    """

    __slots__ = ("body", "ran", "status")

    def __init__(self, *, status: int, ran: bool | None, body: Any) -> None:
        self.status = status
        self.ran = ran
        self.body = body


@final
class FaultLoad:
    """All callers of one run; ``violations`` describes each violated guarantee with its call.

    ``outcomes`` counts the results of calls by kind and code. ``not_run_requests`` are the ids of
    completions that were reported as not run, ``orders`` holds the responses to each order, and
    ``accepted_limits`` the highest limit that was reported as accepted for each team.
    """

    __slots__ = (
        "_client",
        "_fleet",
        "_injector",
        "_last_number",
        "_random",
        "_seed",
        "_stopping",
        "accepted_limits",
        "not_run_requests",
        "orders",
        "outcomes",
        "violations",
    )

    def __init__(self, fleet: Fleet, injector: Injector, *, seed: int) -> None:
        self._fleet = fleet
        self._injector = injector
        self._seed = seed
        self._random = random.Random(seed)
        self._client = HttpClient()
        self._last_number = 0
        self._stopping = False
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.violations: list[str] = []
        self.not_run_requests: set[str] = set()
        self.orders: dict[str, list[ApiResponse]] = {}
        self.accepted_limits: dict[str, Limit] = {}

    def stop(self) -> None:
        """Stop starting new calls."""
        self._stopping = True

    def close(self) -> None:
        """Close the callers' connections."""
        self._client.close()

    async def complete(self, *, team: str, tokens: int, max_tokens: int) -> None:
        """Send completions of one length, one at a time, until stopped."""
        while not self._stopping:
            await self.complete_once(team=team, tokens=tokens, max_tokens=max_tokens)
            await self._pause(CALL_PAUSE_SECONDS)

    async def complete_once(self, *, team: str, tokens: int, max_tokens: int) -> bool:
        """Send one completion, resumed or retried on failure; return whether it was completed."""
        number = self._next_number()
        prompt = make_prompt(tokens=tokens, seed=self._seed * 1_000_000 + number)
        expected = expected_text(prompt, seed=number, max_tokens=max_tokens)
        allowed = (
            ENTRY_DEFAULTS.deadline_base
            + ENTRY_DEFAULTS.deadline_per_prompt_token * tokens
            + ENTRY_DEFAULTS.deadline_per_output_token * max_tokens
        )
        silence_timeout = allowed / self._fleet.plan.speed + GRACE_SECONDS
        caller = Caller(
            token=caller_token(team),
            model=MODEL,
            client=self._client,
            silence_timeout=silence_timeout,
        )
        lost: Completion | None = None
        for _ in range(MAX_ATTEMPTS):
            entry, address = self._random_entry()
            started = time.monotonic()
            if lost is not None and lost.resume_token:
                completion = await caller.resume(address, lost, prompt=prompt)
            else:
                completion = await caller.complete(
                    address, prompt=prompt, max_tokens=max_tokens, seed=number
                )
            label = f"completion {number} of {tokens} tokens by {entry} ({completion.request_id})"
            self._check_completion(completion, expected, label)
            if completion.total > silence_timeout and not self._injector.was_faulty(
                entry, since=started
            ):
                self.violations.append(
                    f"{label}: took {completion.total:.1f} s, {silence_timeout:.1f} s allowed"
                )
            if completion.ok:
                self.outcomes["completion", "ok"] += 1
                return True
            self.outcomes["completion", completion.code] += 1
            lost = completion if completion.code in RESUMABLE_CODES else None
            await self._pause(RETRY_PAUSE_SECONDS)
        self.outcomes["completion", "given up"] += 1
        return False

    async def order(self) -> None:
        """Place orders until stopped, each several times, through random entries."""
        while not self._stopping:
            await self._order_once(f"{self._seed}-{self._next_number()}")
            await self._pause(CALL_PAUSE_SECONDS)

    async def look_up(self) -> None:
        """Look up items until stopped."""
        while not self._stopping:
            item = f"item-{self._next_number()}"
            path = f"/services/{PLAIN_SERVICE}/catalogue/{item}"
            response = await self._call("GET", path)
            if response.status == 200 and response.body != {"item": item, "price": len(item)}:
                self.violations.append(f"lookup of {item} returned {response.body}")
            self.outcomes["lookup", _code(response)] += 1
            await self._pause(CALL_PAUSE_SECONDS)

    async def raise_limit(self, *, team: str) -> None:
        """Raise a team's limit in steps, through random entries, until stopped."""
        limit = self._fleet.plan.limits[team]
        while not self._stopping:
            limit = Limit(limit.max_prompt_tokens, limit.max_tokens_in_flight + RAISE_STEP_TOKENS)
            change = secrets.token_hex(8)
            response = await self._call(
                "PUT",
                f"/v1/teams/{team}/limit",
                limit,
                token=operator_token(team),
                headers={CHANGE_ID_HEADER: change},
            )
            while response.status != 200 and response.ran is not False and not self._stopping:
                await self._pause(RETRY_PAUSE_SECONDS)
                response = await self._call(
                    "GET", f"/v1/changes/{change}", token=operator_token(team)
                )
                if response.status == 404:
                    break
            self.outcomes["raise", _code(response)] += 1
            if response.status == 200:
                self.accepted_limits[team] = limit.merged(self.accepted_limits.get(team, limit))
            await self._pause(RAISE_PAUSE_SECONDS)

    async def observe(self, *, team: str) -> None:
        """Check at all entries that a team's limit and the revision never decrease."""
        limits: dict[str, Limit] = {}
        revisions: dict[tuple[str, int], int] = {}
        while not self._stopping:
            for name, address in self._fleet.entries.items():
                incarnation = self._injector.incarnations[name]
                view = await self.fetch_limit(address, team=team)
                if view is None or incarnation != self._injector.incarnations[name]:
                    continue
                limit, revision = view
                if revision < revisions.get((name, incarnation), 0):
                    self.violations.append(f"{name} reverted to settings revision {revision}")
                if not limit.covers(limits.get(name, limit)):
                    self.violations.append(f"{name} lowered the limit of {team} to {limit}")
                revisions[name, incarnation] = revision
                limits[name] = limit
            await self._pause(OBSERVE_PAUSE_SECONDS)

    async def fetch_limit(self, address: str, *, team: str) -> tuple[Limit, int] | None:
        """Return a team's limit and the settings revision at an entry, or ``None`` on failure."""
        response = await self._call(
            "GET", f"/v1/teams/{team}/limit", token=operator_token(team), address=address
        )
        if response.status != 200:
            return None
        return msgspec.convert(response.body["limit"], Limit), response.body["revision"]

    def _check_completion(self, completion: Completion, expected: str, label: str) -> None:
        if completion.ok and completion.text != expected:
            self.violations.append(f"{label}: the text is incomplete or wrong")
        elif not expected.startswith(completion.text):
            self.violations.append(f"{label}: contains tokens of another completion")
        if completion.ran is False and completion.request_id:
            self.not_run_requests.add(completion.request_id)

    async def _order_once(self, id: str) -> None:
        headers = {IDEMPOTENCY_HEADER: id}
        if self._random.random() < 0.5:
            issued = await self._call("POST", "/v1/tickets")
            if issued.status != 200:
                self.outcomes["ticket", _code(issued)] += 1
                return
            headers = {TICKET_HEADER: issued.body["ticket"]}
        retries = self._random.randint(1, MAX_ATTEMPTS)
        responses = self.orders.setdefault(id, [])
        # The first two attempts are concurrent, as when a caller retries before the first response.
        responses += await asyncio.gather(
            self._send_order(id, headers), self._send_order(id, headers)
        )
        for _ in range(retries):
            await self._pause(RETRY_PAUSE_SECONDS)
            responses.append(await self._send_order(id, headers))

    async def _send_order(self, id: str, headers: dict[str, str]) -> ApiResponse:
        path = f"/services/{PLAIN_SERVICE}/orders"
        response = await self._call("POST", path, {"id": id}, headers=headers)
        self.outcomes["order", _code(response)] += 1
        return response

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        token: str = "",
        address: str = "",
        headers: dict[str, str] | None = None,
    ) -> ApiResponse:
        team = next(iter(self._fleet.plan.limits))
        try:
            status, data = await fetch(
                self._client,
                address=address or self._random_entry()[1],
                method=method,
                path=path,
                body=b"" if body is None else msgspec.json.encode(body),
                headers={
                    "Authorization": f"Bearer {token or caller_token(team)}",
                    **(headers or {}),
                },
                timeout=CALL_TIMEOUT_SECONDS,
            )
        except BaobabError as error:
            return ApiResponse(status=0, ran=error.ran, body=error.code)
        document = msgspec.json.decode(data)
        ran = document["error"]["ran"] if status >= 400 else True
        return ApiResponse(status=status, ran=ran, body=document)

    def _random_entry(self) -> tuple[str, str]:
        name = self._random.choice(sorted(self._fleet.entries))
        return name, self._fleet.entries[name]

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    async def _pause(self, seconds: float) -> None:
        await self._injector.sleep(seconds * self._random.uniform(0.5, 1.5))


def _code(response: ApiResponse) -> str:
    if response.status == 0:
        return str(response.body)
    return str(response.body["error"]["code"]) if response.status >= 400 else "ok"
