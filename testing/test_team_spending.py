"""What counting a team's tokens costs an entry in messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from baobabpulley.entry.owners import Owners
from baobabpulley.entry.team_spending import IDLE_SECONDS
from baobabpulley.entry.team_spending import TeamSpending
from baobabpulley.errors import Overloaded
from baobabpulley.errors import PeerUnavailable
from baobabpulley.errors import TeamLimitReached
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import limit_key
from baobabpulley.model.fleet_view import FleetView
from baobabpulley.model.limits import Limit
from baobabpulley.model.reservation_messages import TeamTokensRequest
from baobabpulley.model.upstreams import Vm
from baobabpulley.policy.handover import Handover
from baobabpulley.policy.memory_ledger import ReservationsSection
from baobabpulley.policy.team_ledger import TeamLedger
from baobabpulley.policy.team_ledger import team_key
from baobabpulley.timers import ManualTimers

TEAM = "souk"
LIMIT = 400_000
SECTION = ReservationsSection()


class OwnerPeers:
    """Peers with one keeper, whose book answers at once; counts the questions."""

    def __init__(self, timers: ManualTimers) -> None:
        self.handover = Handover(expiry=SECTION.expiry)
        for age in (5.0, 3.0, 1.0):
            self.handover.renew(team_key(TEAM), now=timers.now() - age)
        self.book = TeamLedger(section=SECTION, handover=self.handover)
        self.timers = timers
        self.asked = 0
        self.silent = False
        # Questions that a busy keeper answers too late.
        self.late = 0
        self.before_answer: Callable[[], None] = lambda: None

    async def request(self, address: str, question: TeamTokensRequest, **_: object) -> object:
        self.asked += 1
        self.before_answer()
        if self.silent or self.late:
            self.late = max(0, self.late - 1)
            raise PeerUnavailable("the keeper is gone")
        return self.book.request(question, limit=LIMIT, now=self.timers.now())


@pytest.fixture
def timers() -> ManualTimers:
    return ManualTimers(start=1_000.0)


@pytest.fixture
def peers(timers: ManualTimers) -> OwnerPeers:
    return OwnerPeers(timers)


@pytest.fixture
def spending(timers: ManualTimers, peers: OwnerPeers) -> TeamSpending:
    view = FleetView(failure_domain="fes")
    view.set_vms((Vm(id="vm-0", role="entry", failure_domain="fes", address="127.0.0.1:9"),))
    document = LimitDocument(limit=Limit(LIMIT, LIMIT))
    entry = StoredEntry(key=limit_key(TEAM), value=encode_document(document), mod_revision=1)
    view.settings_state.install([entry])
    owners = Owners(peers=peers, view=view)  # type: ignore[arg-type]
    return TeamSpending(holder="e0", owners=owners, view=view, section=SECTION, timers=timers)


async def test_short_requests_are_counted_without_asking_the_owner_each_time(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    for index in range(100):
        await spending.spend(team=TEAM, request_id=f"r{index}", tokens=1_000)
        if index >= 8:
            spending.refund(team=TEAM, request_id=f"r{index - 8}")
    assert peers.asked == 1


async def test_a_keeper_that_answers_late_once_is_asked_again(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    peers.late = 1
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    assert peers.asked == 2


async def test_while_all_keepers_are_known_to_be_silent_a_request_is_refused_at_once(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    peers.silent = True
    for expected in (2, 2):
        with pytest.raises(Overloaded):
            await spending.spend(team=TEAM, request_id="a", tokens=1_000)
        assert peers.asked == expected


async def test_a_request_is_counted_once_however_often_it_is_spent_or_refunded(
    spending: TeamSpending,
) -> None:
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    assert [hold.in_use for hold in spending.usage_reports([TEAM])] == [1_000]
    for _ in range(2):
        spending.refund(team=TEAM, request_id="a")
    assert [hold.in_use for hold in spending.usage_reports([TEAM])] == [0]


async def test_a_prompt_as_long_as_the_limit_fits_and_one_token_more_does_not(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    with pytest.raises(TeamLimitReached) as caught:
        await spending.spend(team=TEAM, request_id="over", tokens=LIMIT + 1)
    assert caught.value.ran is False
    assert peers.asked == 0
    await spending.spend(team=TEAM, request_id="whole", tokens=LIMIT)
    assert peers.book.held(TEAM, now=1_000.0) == LIMIT


async def test_requests_overtaken_by_a_renewal_are_counted_and_not_refused(
    spending: TeamSpending, peers: OwnerPeers, timers: ManualTimers
) -> None:
    def renew() -> None:
        if peers.asked <= 2:
            for hold in spending.usage_reports([TEAM]):
                peers.book.renew("e0", hold, now=timers.now())

    peers.before_answer = renew
    asked = [
        asyncio.create_task(spending.spend(team=TEAM, request_id=f"r{index}", tokens=100_000))
        for index in range(3)
    ]
    await timers.advance(10.0)
    async with asyncio.timeout(5.0):
        await asyncio.gather(*asked)
    assert [hold.in_use for hold in spending.usage_reports([TEAM])] == [300_000]


async def test_idle_teams_share_is_released_and_evicted_and_can_be_requested_again(
    spending: TeamSpending, peers: OwnerPeers, timers: ManualTimers
) -> None:
    def renew() -> None:
        spending.release_idle()
        peers.handover.renew(team_key(TEAM), now=timers.now())
        for hold in spending.usage_reports(spending.teams):
            peers.book.renew("e0", hold, now=timers.now())
        spending.record_renewal(spending.teams, sent=timers.now())

    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    for _ in range(2 * round(IDLE_SECONDS)):
        await timers.advance(1.0)
        renew()
    assert spending.teams == {TEAM}
    spending.refund(team=TEAM, request_id="a")
    for _ in range(round(IDLE_SECONDS) + 2):
        await timers.advance(1.0)
        renew()
    assert spending.teams == frozenset()
    assert peers.book.held(TEAM, now=timers.now()) == 0
    # The home still remembers the version of the last question.
    asked = peers.asked
    async with asyncio.timeout(5.0):
        await spending.spend(team=TEAM, request_id="b", tokens=1_000)
    assert peers.asked == asked + 1


async def test_idle_team_keeps_its_share_while_no_keeper_answers(
    spending: TeamSpending, peers: OwnerPeers, timers: ManualTimers
) -> None:
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    spending.refund(team=TEAM, request_id="a")
    peers.silent = True
    # A prompt past the share shows that the keeper is gone.
    with pytest.raises(Overloaded):
        await spending.spend(team=TEAM, request_id="b", tokens=LIMIT)
    await timers.advance(2 * IDLE_SECONDS)
    spending.release_idle()
    await spending.spend(team=TEAM, request_id="c", tokens=1_000)
    assert [hold.in_use for hold in spending.usage_reports([TEAM])] == [1_000]
