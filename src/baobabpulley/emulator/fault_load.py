"""Callers and operators that go on through faults, and note what must never happen."""

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
# Real seconds that a caller waits beyond what the entry allows.
GRACE_SECONDS: Final = 5.0
ENTRY_DEFAULTS: Final = CallersSection()
CALL_TIMEOUT_SECONDS: Final = 10.0
# Pauses in model seconds.
RETRY_PAUSE_SECONDS: Final = 1.0
CALL_PAUSE_SECONDS: Final = 0.3
RAISE_PAUSE_SECONDS: Final = 2.0
OBSERVE_PAUSE_SECONDS: Final = 0.5
RAISE_STEP_TOKENS: Final = 1_000
RESUMABLE_CODES: Final = frozenset({"connection", "cut"})


@final
class ApiResponse:
    """What one try of an order was told."""

    __slots__ = ("body", "ran", "status")

    def __init__(self, *, status: int, ran: bool | None, body: Any) -> None:
        self.status = status
        self.ran = ran
        self.body = body


@final
class FaultLoad:
    """All callers of one run; ``violations`` names whatever broke a promise, with its call.

    ``outcomes`` counts how calls ended, by kind and code. ``refused`` are ids of completions that
    were told that they did not run, ``orders`` what each order was told, ``accepted`` the
    greatest limit that each team was told is accepted.
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
        """Begin no new calls."""
        self._stopping = True

    def close(self) -> None:
        """Close the callers' connections."""
        self._client.close()

    async def complete(self, *, team: str, tokens: int, max_tokens: int) -> None:
        """Send completions of one length, one after the other, until stopped."""
        while not self._stopping:
            await self.complete_once(team=team, tokens=tokens, max_tokens=max_tokens)
            await self._pause(CALL_PAUSE_SECONDS)

    async def complete_once(self, *, team: str, tokens: int, max_tokens: int) -> bool:
        """Send one completion, going on elsewhere when it is lost; return whether it is whole."""
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
                answer = await caller.resume(address, lost, prompt=prompt)
            else:
                answer = await caller.complete(
                    address, prompt=prompt, max_tokens=max_tokens, seed=number
                )
            label = f"completion {number} of {tokens} tokens by {entry} ({answer.request_id})"
            self._check_completion(answer, expected, label)
            if answer.total > silence_timeout and not self._injector.was_faulty(
                entry, since=started
            ):
                self.violations.append(
                    f"{label}: {answer.total:.1f} s, {silence_timeout:.1f} allowed"
                )
            if answer.ok:
                self.outcomes["completion", "ok"] += 1
                return True
            self.outcomes["completion", answer.code] += 1
            lost = answer if answer.code in RESUMABLE_CODES else None
            await self._pause(RETRY_PAUSE_SECONDS)
        self.outcomes["completion", "given up"] += 1
        return False

    async def order(self) -> None:
        """Place orders, each of them again and again through any entry, until stopped."""
        while not self._stopping:
            await self._order_once(f"{self._seed}-{self._next_number()}")
            await self._pause(CALL_PAUSE_SECONDS)

    async def look_up(self) -> None:
        """Look items up until stopped."""
        while not self._stopping:
            item = f"item-{self._next_number()}"
            path = f"/services/{PLAIN_SERVICE}/catalogue/{item}"
            response = await self._call("GET", path)
            if response.status == 200 and response.body != {"item": item, "price": len(item)}:
                self.violations.append(f"lookup of {item} was answered {response.body}")
            self.outcomes["lookup", _code(response)] += 1
            await self._pause(CALL_PAUSE_SECONDS)

    async def raise_limit(self, *, team: str) -> None:
        """Raise a team's limit by a step, through any entry, until stopped."""
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
        """Look at a team's limit at all entries until stopped: it and the revision never fall."""
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
                    self.violations.append(f"{name} went back to revision {revision}")
                if not limit.covers(limits.get(name, limit)):
                    self.violations.append(f"{name} lowered the limit of {team} to {limit}")
                revisions[name, incarnation] = revision
                limits[name] = limit
            await self._pause(OBSERVE_PAUSE_SECONDS)

    async def fetch_limit(self, address: str, *, team: str) -> tuple[Limit, int] | None:
        """Return a team's limit and the settings revision at an entry, if it answers."""
        response = await self._call(
            "GET", f"/v1/teams/{team}/limit", token=operator_token(team), address=address
        )
        if response.status != 200:
            return None
        return msgspec.convert(response.body["limit"], Limit), response.body["revision"]

    def _check_completion(self, answer: Completion, expected: str, label: str) -> None:
        if answer.ok and answer.text != expected:
            self.violations.append(f"{label}: not the whole and right answer")
        elif not expected.startswith(answer.text):
            self.violations.append(f"{label}: tokens that are not its own")
        if answer.ran is False and answer.request_id:
            self.not_run_requests.add(answer.request_id)

    async def _order_once(self, id: str) -> None:
        headers = {IDEMPOTENCY_HEADER: id}
        if self._random.random() < 0.5:
            issued = await self._call("POST", "/v1/tickets")
            if issued.status != 200:
                self.outcomes["ticket", _code(issued)] += 1
                return
            headers = {TICKET_HEADER: issued.body["ticket"]}
        tries = self._random.randint(1, MAX_ATTEMPTS)
        tells = self.orders.setdefault(id, [])
        # The first two at once, as an impatient caller does it.
        tells += await asyncio.gather(self._send_order(id, headers), self._send_order(id, headers))
        for _ in range(tries):
            await self._pause(RETRY_PAUSE_SECONDS)
            tells.append(await self._send_order(id, headers))

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
        answer = msgspec.json.decode(data)
        ran = answer["error"]["ran"] if status >= 400 else True
        return ApiResponse(status=status, ran=ran, body=answer)

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
