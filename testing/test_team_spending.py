"""An entry counts a team's tokens with few requests to the keeper that owns the team."""

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
LIMIT_TOKENS = 400_000
SECTION = ReservationsSection()


class OwnerPeers:
    """Peers with one keeper, whose ledger responds at once; counts the requests.

    The next ``timeouts_left`` requests time out, as those to a busy keeper do; while ``silent``,
    all do.
    """

    def __init__(self, timers: ManualTimers) -> None:
        self.handover = Handover(expiry=SECTION.expiry)
        for age in (5.0, 3.0, 1.0):
            self.handover.renew(team_key(TEAM), now=timers.now() - age)
        self.ledger = TeamLedger(section=SECTION, handover=self.handover)
        self.timers = timers
        self.request_count = 0
        self.silent = False
        self.timeouts_left = 0
        self.before_response: Callable[[], None] = lambda: None

    async def request(self, address: str, tokens_request: TeamTokensRequest, **_: object) -> object:
        self.request_count += 1
        self.before_response()
        if self.silent or self.timeouts_left:
            self.timeouts_left = max(0, self.timeouts_left - 1)
            raise PeerUnavailable("the keeper does not respond")
        return self.ledger.request(tokens_request, limit=LIMIT_TOKENS, now=self.timers.now())


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
    document = LimitDocument(limit=Limit(LIMIT_TOKENS, LIMIT_TOKENS))
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
    assert peers.request_count == 1


async def test_a_request_that_times_out_once_is_retried(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    peers.timeouts_left = 1
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    assert peers.request_count == 2


async def test_while_all_keepers_are_known_to_be_silent_a_request_is_refused_at_once(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    peers.silent = True
    for expected in (2, 2):
        with pytest.raises(Overloaded):
            await spending.spend(team=TEAM, request_id="a", tokens=1_000)
        assert peers.request_count == expected


async def test_a_request_is_counted_once_however_often_it_is_spent_or_refunded(
    spending: TeamSpending,
) -> None:
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    assert [report.in_use for report in spending.usage_reports([TEAM])] == [1_000]
    for _ in range(2):
        spending.refund(team=TEAM, request_id="a")
    assert [report.in_use for report in spending.usage_reports([TEAM])] == [0]


async def test_a_prompt_as_long_as_the_limit_fits_and_one_token_more_does_not(
    spending: TeamSpending, peers: OwnerPeers
) -> None:
    with pytest.raises(TeamLimitReached) as caught:
        await spending.spend(team=TEAM, request_id="over", tokens=LIMIT_TOKENS + 1)
    assert caught.value.ran is False
    assert peers.request_count == 0
    await spending.spend(team=TEAM, request_id="whole", tokens=LIMIT_TOKENS)
    assert peers.ledger.held(TEAM, now=1_000.0) == LIMIT_TOKENS


async def test_requests_overtaken_by_a_renewal_are_counted_and_not_refused(
    spending: TeamSpending, peers: OwnerPeers, timers: ManualTimers
) -> None:
    def renew() -> None:
        if peers.request_count <= 2:
            for report in spending.usage_reports([TEAM]):
                peers.ledger.renew("e0", report, now=timers.now())

    peers.before_response = renew
    spent = [
        asyncio.create_task(spending.spend(team=TEAM, request_id=f"r{index}", tokens=100_000))
        for index in range(3)
    ]
    await timers.advance(10.0)
    async with asyncio.timeout(5.0):
        await asyncio.gather(*spent)
    assert [report.in_use for report in spending.usage_reports([TEAM])] == [300_000]


async def test_idle_teams_share_is_released_and_evicted_and_can_be_requested_again(
    spending: TeamSpending, peers: OwnerPeers, timers: ManualTimers
) -> None:
    def renew() -> None:
        spending.release_idle()
        peers.handover.renew(team_key(TEAM), now=timers.now())
        for report in spending.usage_reports(spending.teams):
            peers.ledger.renew("e0", report, now=timers.now())
        spending.record_renewal(spending.teams, sent_at=timers.now())

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
    assert peers.ledger.held(TEAM, now=timers.now()) == 0
    # The owner still remembers the version of the team's last request; the next one must be newer.
    request_count = peers.request_count
    async with asyncio.timeout(5.0):
        await spending.spend(team=TEAM, request_id="b", tokens=1_000)
    assert peers.request_count == request_count + 1


async def test_idle_team_keeps_its_share_while_no_keeper_answers(
    spending: TeamSpending, peers: OwnerPeers, timers: ManualTimers
) -> None:
    await spending.spend(team=TEAM, request_id="a", tokens=1_000)
    spending.refund(team=TEAM, request_id="a")
    peers.silent = True
    # A prompt larger than the share must be requested, which detects the silent keeper.
    with pytest.raises(Overloaded):
        await spending.spend(team=TEAM, request_id="b", tokens=LIMIT_TOKENS)
    await timers.advance(2 * IDLE_SECONDS)
    spending.release_idle()
    await spending.spend(team=TEAM, request_id="c", tokens=1_000)
    assert [report.in_use for report in spending.usage_reports([TEAM])] == [1_000]
