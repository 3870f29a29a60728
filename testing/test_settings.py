"""Settings spread to all processes and are never rolled back, whatever fails.

A process can fall behind or install an older revision when messages or watches are lost, when it
was frozen, or when it joins from a stale peer. ``Cluster.advance`` checks after each step that no
key's revision and no limit went down in any process.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from settings_cluster import Cluster

from baobabpulley.model.documents import COMMITMENTS_KEY
from baobabpulley.model.documents import MAX_DOCUMENT_BYTES
from baobabpulley.model.documents import CommitmentsDocument
from baobabpulley.model.documents import LimitDocument
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.documents import document_key
from baobabpulley.model.documents import encode_document
from baobabpulley.model.documents import limit_key
from baobabpulley.model.limits import Limit
from baobabpulley.model.settings_state import SettingsState
from baobabpulley.policy.own_watch import OWN_WATCH_SECONDS
from baobabpulley.policy.own_watch import OwnWatch

DOMAINS = {"fes": 3, "meknes": 2, "rabat": 1}
IN_FORCE_WITHIN_SECONDS = 3.0

KEY = document_key("souk", "menu")
LIMIT = Limit(100, 1000)


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[Cluster]:
    running = Cluster(keepers=DOMAINS)
    running.state.put(limit_key("souk"), encode_document(LimitDocument(limit=LIMIT)))
    running.state.put(COMMITMENTS_KEY, encode_document(CommitmentsDocument(teams={"souk": LIMIT})))
    running.state.put(KEY, b'{"n": 0}')
    await running.start()
    await running.advance(IN_FORCE_WITHIN_SECONDS)
    assert running.lagging(KEY, running.state.revision) == []
    yield running
    for name in tuple(running.members):
        running.kill(name)


def watchers(cluster: Cluster, domain: str) -> list[str]:
    keeper = next(m for name, m in cluster.members.items() if name.startswith(f"keeper-{domain}"))
    relay = keeper.context.parts["settings_relay"]
    return [f"keeper-{vm.id}" for vm in relay.watchers]


async def check_change_spreads(cluster: Cluster, *, except_for: tuple[str, ...] = ()) -> None:
    revision = cluster.state.put(KEY, b'{"n": 1}')
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    assert set(cluster.lagging(KEY, revision)) <= set(except_for)


async def test_a_change_is_in_force_everywhere(cluster: Cluster) -> None:
    calls = cluster.state.watches_opened
    await check_change_spreads(cluster)
    assert cluster.state.watches_opened == calls


@pytest.mark.parametrize(
    ("domain", "count"),
    [("fes", 1), ("fes", 2), ("meknes", 1)],
    ids=["one_of_two", "both", "the_only_one"],
)
async def test_a_change_spreads_after_watchers_are_killed(
    cluster: Cluster, domain: str, count: int
) -> None:
    for name in watchers(cluster, domain)[:count]:
        cluster.kill(name)
    await cluster.advance(2.0)
    await check_change_spreads(cluster)


async def test_entries_go_on_when_the_only_keeper_of_their_domain_is_killed(
    cluster: Cluster,
) -> None:
    cluster.kill("keeper-rabat-0")
    await check_change_spreads(cluster)


async def test_a_killed_entry_comes_back_with_the_newest_settings(cluster: Cluster) -> None:
    cluster.kill("entry-fes-0")
    revision = cluster.state.put(KEY, b'{"n": 1}')
    cluster.start_entry(cluster.vms[0])
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    assert cluster.lagging(KEY, revision) == []


@pytest.mark.parametrize("domain", ["fes", "meknes"])
async def test_a_thawed_keeper_catches_up_without_a_rollback(cluster: Cluster, domain: str) -> None:
    frozen = watchers(cluster, domain)
    for name in frozen:
        cluster.freeze(name)
    await check_change_spreads(cluster)
    for name in frozen:
        await cluster.thaw(name)
    await check_change_spreads(cluster)


async def test_settings_stay_through_an_outage_and_follow_after_it(cluster: Cluster) -> None:
    cluster.state.down = True
    calls = cluster.state.calls
    await cluster.advance(60.0)
    # Four watchers call once a second each on average: full jitter with a cap of two seconds.
    assert cluster.state.calls - calls <= 1.5 * 4 * 60
    cluster.state.down = False
    await check_change_spreads(cluster)


async def test_a_domain_cut_off_from_the_store_follows_its_peers(cluster: Cluster) -> None:
    cluster.state.disconnected_domains.add("rabat")
    await check_change_spreads(cluster)


async def test_a_change_reaches_keepers_whose_watchers_lost_the_store_in_time(
    cluster: Cluster,
) -> None:
    cut_off = watchers(cluster, "fes")
    cluster.state.disconnected_processes |= {
        name.replace("keeper-fes-", "fes:") for name in cut_off
    }
    cluster.partitioned_links |= {frozenset(("fes", "rabat")), frozenset(("fes", "meknes"))}
    entries = tuple(name.replace("keeper", "entry") for name in cut_off)
    for number in (1, 2, 3):
        revision = cluster.state.put(KEY, b'{"n": %d}' % number)
        await cluster.advance(IN_FORCE_WITHIN_SECONDS)
        assert set(cluster.lagging(KEY, revision)) <= {*cut_off, *entries}
    # Once the watchers hear the store again, the others leave it to them.
    cluster.state.disconnected_processes.clear()
    await check_change_spreads(cluster)
    await cluster.advance(2 * OWN_WATCH_SECONDS)
    opened = cluster.state.watches_opened
    await cluster.advance(2 * OWN_WATCH_SECONDS)
    assert cluster.state.watches_opened == opened


async def test_a_domain_cut_off_from_all_serves_and_follows_once_reconnected(
    cluster: Cluster,
) -> None:
    cluster.state.disconnected_domains.add("rabat")
    cluster.partitioned_links |= {frozenset(("rabat", "fes")), frozenset(("rabat", "meknes"))}
    await check_change_spreads(cluster, except_for=("keeper-rabat-0", "entry-rabat-0"))
    assert cluster.members["entry-rabat-0"].settings_state.limit("souk") == LIMIT
    cluster.state.disconnected_domains.clear()
    cluster.partitioned_links.clear()
    await check_change_spreads(cluster)


async def test_a_silent_watch_is_reopened(cluster: Cluster) -> None:
    cluster.state.last_silent_watch = cluster.state.watches_opened
    await check_change_spreads(cluster)


async def test_lost_deltas_are_pulled(cluster: Cluster) -> None:
    cluster.publish_loss_ratio = 1.0
    await check_change_spreads(cluster)


async def test_a_key_deleted_during_an_outage_is_gone_after_compaction(cluster: Cluster) -> None:
    cluster.state.down = True
    await cluster.advance(1.0)
    cluster.state.put(KEY, None)
    cluster.state.put("/baobab/claims/x", b"{}")
    cluster.state.compacted_revision = cluster.state.revision
    cluster.state.down = False
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    left = [
        m.name for m in cluster.members.values() if m.settings_state.entry(KEY).value is not None
    ]
    assert left == []


async def test_a_vm_started_during_an_outage_joins_from_its_peers(cluster: Cluster) -> None:
    raised = Limit(200, 2000)
    for member in cluster.members.values():
        member.settings_state.raise_limits({"souk": raised})
    cluster.kill("keeper-rabat-0")
    cluster.kill("entry-rabat-0")
    cluster.state.down = True
    vm = cluster.vms[-1]
    keeper = await cluster.start_keeper(vm)
    entry = cluster.start_entry(vm)
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    assert cluster.lagging(KEY, cluster.state.items[KEY].mod_revision) == []
    assert (keeper.settings_state.limit("souk"), entry.settings_state.limit("souk")) == (
        raised,
        raised,
    )


async def test_a_vm_joins_from_peers_that_are_slow_to_answer(cluster: Cluster) -> None:
    cluster.kill("keeper-fes-0")
    cluster.kill("entry-fes-0")
    cluster.state.down = True
    for peers in cluster.all_peers:
        peers.reply_delay_seconds = 0.9
    keeper = await cluster.start_keeper(cluster.vms[0])
    keeper.peers.reply_delay_seconds = 0.9
    entry = cluster.start_entry(cluster.vms[0])
    await cluster.advance(10.0)
    assert (keeper.view.ready, entry.view.ready) == (True, True)
    assert (keeper.settings_state.limit("souk"), entry.settings_state.limit("souk")) == (
        LIMIT,
        LIMIT,
    )


async def test_a_vm_with_neither_store_nor_peer_is_not_ready(cluster: Cluster) -> None:
    for name in tuple(cluster.members):
        cluster.kill(name)
    cluster.state.down = True
    members = [await cluster.start_keeper(cluster.vms[0]), cluster.start_entry(cluster.vms[0])]
    await cluster.advance(10.0)
    assert [member.view.ready for member in members] == [False, False]


async def test_an_entry_joins_from_all_keepers_not_from_a_stale_one(cluster: Cluster) -> None:
    stale = cluster.members["keeper-fes-0"]
    cluster.publish_loss_ratio = 1.0
    stale.peers.timers.cancel_all()
    for name, member in cluster.members.items():
        if name != stale.name:
            member.settings_state.raise_limits({"souk": Limit(500, 5000)})
    cluster.kill("entry-fes-0")
    entry = cluster.start_entry(cluster.vms[0])
    while not entry.view.ready:
        await cluster.advance(0.1)
    assert entry.settings_state.limit("souk") == Limit(500, 5000)


async def test_a_limit_lowered_by_hand_stays_and_raises_an_alarm(cluster: Cluster) -> None:
    lowered = LimitDocument(limit=Limit(1, 1))
    revision = cluster.state.put(limit_key("souk"), encode_document(lowered))
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    fresh = await cluster.start_keeper(cluster.vms[0])
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    assert {m.settings_state.limit("souk") for m in cluster.members.values()} == {LIMIT}
    assert fresh.settings_state.limit("souk") == LIMIT
    assert any(kind == "limit_lowered" and str(revision) in text for kind, text in cluster.alarms)


def lower_both_copies(cluster: Cluster) -> None:
    """Lower the stored limit and its commitment, as an operator does with the store's own tools."""
    lowered = {"souk": Limit(1, 1)}
    cluster.state.put(limit_key("souk"), encode_document(LimitDocument(limit=lowered["souk"])))
    cluster.state.put(COMMITMENTS_KEY, encode_document(CommitmentsDocument(teams=lowered)))


async def limits_after_a_restart_of_all(cluster: Cluster) -> set[Limit]:
    for name in tuple(cluster.members):
        cluster.kill(name)
    await cluster.start()
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    return {member.settings_state.limit("souk") for member in cluster.members.values()}


@pytest.mark.parametrize("deleted", [False, True], ids=["lowered", "deleted"])
async def test_a_limit_lowered_in_both_copies_is_written_back(
    cluster: Cluster, deleted: bool
) -> None:
    lower_both_copies(cluster)
    if deleted:
        cluster.state.put(limit_key("souk"), None)
        cluster.state.put(COMMITMENTS_KEY, None)
    await cluster.advance(10.0)
    calls, revision = cluster.state.calls, cluster.state.revision
    await cluster.advance(10.0)
    # The repair is complete, so no process calls the store again.
    assert (cluster.state.calls, cluster.state.revision) == (calls, revision)
    assert await limits_after_a_restart_of_all(cluster) == {LIMIT}


async def test_without_a_lease_holder_a_lowered_limit_is_lost_in_a_restart_of_all(
    cluster: Cluster,
) -> None:
    cluster.leases_held = False
    lower_both_copies(cluster)
    await cluster.advance(10.0)
    assert {member.settings_state.limit("souk") for member in cluster.members.values()} == {LIMIT}
    assert await limits_after_a_restart_of_all(cluster) == {Limit(1, 1)}


@pytest.mark.parametrize("seed", range(3))
async def test_lost_responses_and_an_outage_cause_no_repair_storm(seed: int) -> None:
    cluster = Cluster(keepers={"fes": 1, "meknes": 1, "rabat": 1}, seed=seed)
    cluster.state.put(limit_key("souk"), encode_document(LimitDocument(limit=LIMIT)))
    cluster.state.put(COMMITMENTS_KEY, encode_document(CommitmentsDocument(teams={"souk": LIMIT})))
    await cluster.start()
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    cluster.state.lost_swap_timings = ("now", "never", "late")
    lower_both_copies(cluster)
    calls, revision = cluster.state.calls, cluster.state.revision
    await cluster.advance(1.0)
    cluster.state.down = True
    await cluster.advance(12.0)
    cluster.state.down = False
    cluster.state.response_loss_ratio = 0.7
    await cluster.advance(12.0)
    cluster.state.response_loss_ratio = 0.0
    await cluster.advance(20.0)
    # Three keepers reopen their watches once a second on average; a repair takes a few calls.
    assert cluster.state.calls - calls <= 3 * 1.5 * 12 + 30
    # Each failure domain writes at most once.
    assert 1 <= cluster.state.revision - revision <= 3
    assert await limits_after_a_restart_of_all(cluster) == {LIMIT}
    for name in tuple(cluster.members):
        cluster.kill(name)


@pytest.mark.parametrize(
    "value",
    [
        b'{"limit": ',
        b'{"limit": 5}',
        encode_document(LimitDocument(limit=Limit(999, 9999))) + b" " * MAX_DOCUMENT_BYTES,
    ],
    ids=["broken", "wrong_type", "too_large"],
)
async def test_a_bad_document_is_rejected_and_named(cluster: Cluster, value: bytes) -> None:
    key = limit_key("souk")
    revision = cluster.state.put(key, value)
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    assert {m.settings_state.limit("souk") for m in cluster.members.values()} == {LIMIT}
    named = [text for kind, text in cluster.alarms if kind == "bad_document"]
    assert named and all(key in text and str(revision) in text for text in named)
    watching = cluster.members[watchers(cluster, "fes")[0]]
    assert watching.settings_state.rejected_revisions == {key: revision}
    cluster.state.put(key, encode_document(LimitDocument(limit=Limit(300, 3000))))
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    assert {m.settings_state.limit("souk") for m in cluster.members.values()} == {Limit(300, 3000)}
    assert watching.settings_state.rejected_revisions == {}


async def test_every_keeper_knows_the_fresh_capacity_of_all_failure_domains(
    cluster: Cluster,
) -> None:
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    known = {name: capacities(cluster, name) for name in cluster.members if "keeper" in name}
    memory = cluster.memory
    assert set(known.values()) == {
        (("fes", memory, 3), ("meknes", memory, 2), ("rabat", memory, 1))
    }
    cluster.partitioned_links |= {frozenset(("rabat", "fes")), frozenset(("rabat", "meknes"))}
    await cluster.advance(40.0)
    assert capacities(cluster, "keeper-rabat-0") == (("rabat", memory, 1),)
    assert [row[0] for row in capacities(cluster, "keeper-fes-0")] == ["fes", "meknes"]


def capacities(cluster: Cluster, name: str) -> tuple[tuple[str, int, int], ...]:
    domains = cluster.members[name].context.parts["settings_relay"].capacity.domains
    return tuple(sorted((d.failure_domain, d.memory_tokens, d.entry_vms) for d in domains))


@pytest.mark.parametrize("seed", range(8))
async def test_random_faults_never_roll_settings_back(seed: int) -> None:
    cluster = Cluster(keepers={"fes": 2, "meknes": 1, "rabat": 1}, seed=seed)
    cluster.publish_loss_ratio = 0.2
    cluster.state.put(KEY, b'{"n": 0}')
    await cluster.start()
    await cluster.advance(IN_FORCE_WITHIN_SECONDS)
    pairs = [frozenset(p) for p in (("fes", "meknes"), ("fes", "rabat"), ("meknes", "rabat"))]
    for number in range(12):
        await inject_fault(cluster, pairs)
        cluster.state.put(KEY, b'{"n": %d}' % number)
        await cluster.advance(cluster.random.uniform(0.1, 4.0))
    cluster.state.down = False
    cluster.state.disconnected_domains.clear()
    cluster.partitioned_links.clear()
    for name, member in tuple(cluster.members.items()):
        if member.peers.frozen:
            await cluster.thaw(name)
    await cluster.advance(1.0)
    await check_change_spreads(cluster)
    for name in tuple(cluster.members):
        cluster.kill(name)


async def inject_fault(cluster: Cluster, pairs: list[frozenset[str]]) -> None:
    rng = cluster.random
    name = rng.choice(sorted(cluster.members))
    vm = next(vm for vm in cluster.vms if name.endswith(vm.id))
    kind = rng.choice(("kill", "freeze", "thaw", "cut", "mend", "store", "silent", "domain"))
    if kind == "kill":
        cluster.kill(name)
        if name.startswith("keeper"):
            await cluster.start_keeper(vm)
        else:
            cluster.start_entry(vm)
    elif kind == "freeze":
        cluster.freeze(name)
    elif kind == "thaw":
        for frozen in [m.name for m in cluster.members.values() if m.peers.frozen]:
            await cluster.thaw(frozen)
    elif kind == "cut":
        cluster.partitioned_links.add(rng.choice(pairs))
    elif kind == "mend":
        cluster.partitioned_links.clear()
        cluster.state.disconnected_domains.clear()
    elif kind == "store":
        cluster.state.down = not cluster.state.down
    elif kind == "silent":
        cluster.state.last_silent_watch = cluster.state.watches_opened
    else:
        cluster.state.disconnected_domains.add(vm.failure_domain)


def entry_at(revision: int, key: str = KEY) -> StoredEntry:
    return StoredEntry(key=key, value=b'{"n": %d}' % revision, mod_revision=revision)


def test_an_older_revision_is_not_installed_after_a_newer_one() -> None:
    settings_state = SettingsState()
    settings_state.install([entry_at(9)], revision=9)
    assert settings_state.install([entry_at(8)], revision=8) == 0
    assert (settings_state.entry(KEY).mod_revision, settings_state.revision) == (9, 9)


def test_a_delta_after_a_gap_leaves_the_gap_to_be_requested() -> None:
    settings_state = SettingsState()
    settings_state.install([entry_at(5)], revision=5)
    settings_state.install([entry_at(8)], revision=8, since=7)
    assert (settings_state.entry(KEY).mod_revision, settings_state.revision) == (8, 5)


def test_pages_bring_a_reader_up_to_date_in_bounded_pieces() -> None:
    writer, reader = SettingsState(), SettingsState()
    entries = [entry_at(n, document_key("souk", f"d{n}")) for n in range(2, 60)]
    writer.install(entries, revision=70)
    more, pages = True, 0
    while more:
        page = writer.page(reader.revision, max_bytes=300)
        reader.install(page.entries, revision=page.revision, since=reader.revision)
        more, pages = page.more, pages + 1
    assert pages > 5
    assert reader.newer_than(0) == writer.newer_than(0)
    assert reader.revision == writer.revision


def test_a_keeper_that_the_store_fails_too_asks_it_seldom() -> None:
    own = OwnWatch(not_before=100.0, random=random.Random(1))
    attempts = 0
    # An hour of an outage for all: each attempt fails at once.
    for tick in range(5 * 3600):
        now = tick / 5
        if own.is_due(is_stale=True, now=now):
            attempts += 1
            own.record_failure(now=now)
    assert 250 <= attempts <= 450


def test_a_keeper_whose_settings_are_confirmed_does_not_watch() -> None:
    own = OwnWatch(not_before=0.0, random=random.Random(1))
    assert not own.is_due(is_stale=False, now=1.0)
    assert own.is_due(is_stale=True, now=2.0)
    assert own.is_due(is_stale=False, now=2.0 + OWN_WATCH_SECONDS - 0.1)
    assert not own.is_due(is_stale=False, now=2.0 + OWN_WATCH_SECONDS)
