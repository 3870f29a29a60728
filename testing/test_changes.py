"""Settings changes are reported as accepted if and only if applied; commitments fit capacity."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable

import pytest
from fake_store import FakeStore
from fake_store import StoreState

from baobabpulley.errors import ChangeOutcomeUnknown
from baobabpulley.errors import CommitmentRefused
from baobabpulley.errors import Conflict
from baobabpulley.errors import LimitLowered
from baobabpulley.errors import StoreUnavailable
from baobabpulley.keeper.change_writer import ChangeWriter
from baobabpulley.model.documents import COMMITMENTS_KEY
from baobabpulley.model.documents import CommitmentsDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import decode_document
from baobabpulley.model.documents import document_key
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import limit_key
from baobabpulley.model.limits import Limit
from baobabpulley.model.settings_messages import ChangeAccepted
from baobabpulley.model.settings_messages import DomainCapacity
from baobabpulley.model.settings_messages import RaiseLimit
from baobabpulley.model.settings_messages import ResolveChange
from baobabpulley.model.settings_messages import WriteDocument
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.policy.commitments import CommitmentCapacity
from baobabpulley.policy.commitments import commitment_capacity
from baobabpulley.timers import ManualTimers

CAPACITY = CommitmentCapacity(in_flight=1000, prompt=600)
INITIAL_LIMIT = Limit(100, 300)


class WriterPair:
    """The change writers of two keepers that share one store and one clock."""

    def __init__(
        self, *, seed: int = 0, max_yields: int = 0, response_loss_ratio: float = 0.0
    ) -> None:
        self.state = StoreState(seed=seed)
        for team in ("souk", "stall"):
            self.state.put(limit_key(team), encode_document(LimitDocument(limit=INITIAL_LIMIT)))
        commitments = CommitmentsDocument(teams={"souk": INITIAL_LIMIT, "stall": INITIAL_LIMIT})
        self.state.put(COMMITMENTS_KEY, encode_document(commitments))
        self.state.max_yields = max_yields
        self.state.response_loss_ratio = response_loss_ratio
        self.timers = ManualTimers()
        self.writers = [
            ChangeWriter(
                store=FakeStore(self.state, timers=self.timers),
                settings_state=SettingsState(),
                capacity=lambda: CAPACITY,
                timers=self.timers,
                seed=f"{seed}-{number}",
            )
            for number in range(2)
        ]

    async def run(self, *work: Awaitable[object]) -> list[object]:
        """Advance time until all work is done; return results and exceptions."""
        gathered = asyncio.gather(*work, return_exceptions=True)
        while not gathered.done():
            await self.timers.advance(0.1)
        return gathered.result()

    async def run_single(self, work: Awaitable[object]) -> object:
        """Run one awaitable and return its result or raise its exception."""
        (result,) = await self.run(work)
        if isinstance(result, BaseException):
            raise result
        return result

    def commitments(self) -> dict[str, Limit]:
        """Return the stored limit commitments by team."""
        return decode_document(self.state.items[COMMITMENTS_KEY], CommitmentsDocument).teams

    def limit(self, team: str) -> Limit:
        """Return a team's stored limit."""
        return decode_document(self.state.items[limit_key(team)], LimitDocument).limit


async def raise_until_settled(writer: ChangeWriter, team: str, limit: Limit) -> str:
    """Retry a change as an operator until its outcome is known; return the outcome."""
    for attempt in range(100):
        change_id = f"{team}-change-{attempt}"
        try:
            return await raise_or_resolve(writer, team, change_id, limit)
        except Conflict as error:
            if type(error) is not Conflict:
                return error.code
    raise AssertionError("no outcome")


async def raise_or_resolve(writer: ChangeWriter, team: str, change_id: str, limit: Limit) -> str:
    change: RaiseLimit | ResolveChange = RaiseLimit(team, change_id, limit)
    while True:
        try:
            if isinstance(change, RaiseLimit):
                await writer.raise_limit(change)
            else:
                await writer.resolve(change)
            return "accepted"
        except (ChangeOutcomeUnknown, StoreUnavailable):
            change = ResolveChange(team, change_id)


@pytest.mark.parametrize("first_seed", range(0, 200, 50))
async def test_of_two_operators_racing_for_the_last_capacity_one_passes(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 50):
        pair = WriterPair(seed=seed, max_yields=4, response_loss_ratio=0.3)
        requested = Limit(100, 700)
        outcomes = await pair.run(
            raise_until_settled(pair.writers[0], "souk", requested),
            raise_until_settled(pair.writers[1], "stall", requested),
        )
        for delayed in pair.state.delayed_swaps:
            pair.state.apply(delayed)
        assert sorted(map(str, outcomes)) == ["accepted", "promise_refused"], seed
        winner, loser = ("souk", "stall") if outcomes[0] == "accepted" else ("stall", "souk")
        assert pair.commitments() == {winner: requested, loser: INITIAL_LIMIT}, seed
        assert (pair.limit(winner), pair.limit(loser)) == (requested, INITIAL_LIMIT), seed


@pytest.mark.parametrize("seed", range(40))
async def test_exactly_the_applied_changes_are_reported_as_accepted(seed: int) -> None:
    pair = WriterPair(seed=seed, max_yields=2)
    pair.state.responses_to_lose = 1 + seed % 3
    change_id = "change-0001"
    change = RaiseLimit("souk", change_id, Limit(200, 400))
    (first,) = await pair.run(pair.writers[0].raise_limit(change))
    (final,) = await pair.run(pair.writers[1].resolve(ResolveChange("souk", change_id)))
    for delayed in pair.state.delayed_swaps:
        pair.state.apply(delayed)
    applied = pair.limit("souk") == Limit(200, 400)
    assert isinstance(final, ChangeAccepted) == applied
    assert isinstance(final, ChangeAccepted | Conflict)
    if isinstance(first, ChangeAccepted):
        assert applied
    elif isinstance(first, Conflict):
        assert not applied
    written = [entry for entry in pair.state.history if entry.key == limit_key("souk")]
    assert len(written) == 1 + applied


async def test_outcome_is_unknown_while_the_stores_replies_are_lost() -> None:
    pair = WriterPair()
    pair.state.response_loss_ratio = 1.0
    change = RaiseLimit("souk", "change-0001", Limit(200, 400))
    with pytest.raises(ChangeOutcomeUnknown, match="change-0001"):
        await pair.run_single(pair.writers[0].raise_limit(change))
    pair.state.down = True
    resolve = ResolveChange("souk", "change-0001")
    with pytest.raises(StoreUnavailable):
        await pair.run_single(pair.writers[0].resolve(resolve))


async def test_a_refused_change_cannot_be_applied_later() -> None:
    pair = WriterPair()
    pair.state.lost_swap_timings, pair.state.delayed_swap_ratio, pair.state.responses_to_lose = (
        ("late",),
        0.0,
        1,
    )
    key = document_key("souk", "menu")
    change = WriteDocument("souk", "change-0001", "menu", b'{"late": 1}')
    work = asyncio.ensure_future(pair.writers[0].write_document(change))
    # Less than the writer's retry delay: no model time passes.
    await pair.timers.advance(0.0)
    assert pair.state.delayed_swaps
    pair.state.put(key, b"{}")
    with pytest.raises(Conflict):
        await pair.run_single(work)
    # The key is absent again, as the delayed swap expects.
    pair.state.put(key, None)
    pair.state.apply(pair.state.delayed_swaps.pop())
    assert key not in pair.state.items


async def test_a_retry_with_the_same_change_id_writes_nothing_more() -> None:
    pair = WriterPair()
    change = RaiseLimit("souk", "change-0001", Limit(200, 400))
    first = await pair.run_single(pair.writers[0].raise_limit(change))
    await pair.run_single(
        pair.writers[0].raise_limit(RaiseLimit("souk", "change-0002", Limit(250, 450)))
    )
    revision = pair.state.revision
    assert await pair.run_single(pair.writers[1].raise_limit(change)) == first
    assert pair.state.revision == revision


@pytest.mark.parametrize(
    "hand_edited", [None, b"{}", b'{"limit": {"max_prompt_tokens": 1}}'], ids=str
)
async def test_a_lower_limit_is_refused_whatever_the_store_says(hand_edited: bytes | None) -> None:
    pair = WriterPair()
    pair.state.put(limit_key("souk"), hand_edited)
    revision = pair.state.revision
    change = RaiseLimit("souk", "change-0001", Limit(100, 299))
    with pytest.raises(LimitLowered, match="max_tokens_in_flight 300"):
        await pair.run_single(pair.writers[0].raise_limit(change))
    assert pair.state.revision == revision


@pytest.mark.parametrize("which", [0, 1], ids=["prompt", "in_flight"])
async def test_the_limit_named_in_a_refusal_is_accepted_and_one_token_more_is_not(
    which: int,
) -> None:
    pair = WriterPair()
    writer = pair.writers[0]
    requested = [Limit(601, 700), Limit(600, 701)][which]
    with pytest.raises(CommitmentRefused) as refused:
        await pair.run_single(writer.raise_limit(RaiseLimit("souk", "change-0001", requested)))
    figures = [int(text) for text in re.findall(r"tokens\w* (\d+)", refused.value.message)]
    assert figures == [600, 700]
    assert pair.limit("souk") == INITIAL_LIMIT
    await pair.run_single(writer.raise_limit(RaiseLimit("souk", "change-0002", Limit(*figures))))
    assert pair.limit("souk") == Limit(600, 700)


async def test_a_change_during_an_outage_is_refused_and_not_written() -> None:
    pair = WriterPair()
    pair.state.down = True
    change = WriteDocument("souk", "change-0001", "menu", b"{}")
    with pytest.raises(StoreUnavailable) as refused:
        await pair.run_single(pair.writers[0].write_document(change))
    assert refused.value.ran is False
    assert document_key("souk", "menu") not in pair.state.items


@pytest.mark.parametrize(
    ("domains", "expected"),
    [
        ([("fes", 10, 2), ("meknes", 20, 1), ("rabat", 30, 1)], CommitmentCapacity(30, 20)),
        ([("fes", 10, 1), ("meknes", 0, 1)], CommitmentCapacity(0, 0)),
        ([("fes", 10, 0), ("meknes", 20, 1), ("rabat", 30, 1)], CommitmentCapacity(20, 20)),
        ([], CommitmentCapacity(0, 0)),
    ],
    ids=["largest_domain_lost", "only_memory_lost", "domain_without_entry", "nothing_known"],
)
def test_commitment_capacity_survives_the_loss_of_any_one_domain(
    domains: list[tuple[str, int, int]], expected: CommitmentCapacity
) -> None:
    fleet = [DomainCapacity(*domain) for domain in domains]
    assert commitment_capacity(fleet, tokens_per_entry_vm=1000) == expected


def test_entry_vms_bound_the_commitment_capacity_too() -> None:
    fleet = [DomainCapacity("fes", 1000, 2), DomainCapacity("meknes", 1000, 2)]
    assert commitment_capacity(fleet, tokens_per_entry_vm=100).in_flight == 200
