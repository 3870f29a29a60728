"""Tests of what a gateway keeps, and what it withholds, when the store came back from a copy."""

from __future__ import annotations

import json

from gateway_builders import LEDGER
from gateway_builders import configuration

from baobabpulley.gateway.store.fleet_snapshot import FleetSnapshot
from baobabpulley.gateway.store.fleet_state import FleetState
from baobabpulley.model.documents import StoredEntry
from baobabpulley.model.revisions import ordered_revision
from baobabpulley.platform import names
from baobabpulley.platform.documents import PlatformDocuments

RETURNED_WITHIN_SECONDS = 2.0


def _state() -> FleetState:
    return FleetState(PlatformDocuments(), returned_within=RETURNED_WITHIN_SECONDS)


def _configuration(version: int, *, number: int, era: int) -> StoredEntry:
    revision = ordered_revision(number, era=era)
    return StoredEntry(names.CONFIGURATION_KEY, configuration(version), revision)


def _upstream(
    name: str, *, number: int, era: int, born: int = 1000, state: str = names.STATE_READY
) -> StoredEntry:
    entry = {
        "service": LEDGER,
        "address": "127.0.0.1:8080",
        "zone": "fes",
        "version": 1,
        "slots": 8,
        "state": state,
        "cold-remaining-ms": 0,
        "born": born,
    }
    return StoredEntry(
        names.UPSTREAM_PREFIX + name, json.dumps(entry).encode(), ordered_revision(number, era=era)
    )


def _snapshot(number: int, *entries: StoredEntry, era: int) -> FleetSnapshot:
    return FleetSnapshot(ordered_revision(number, era=era), entries, covers_evacuations=True)


def _remove(state: FleetState, name: str, *, number: int, now: float) -> None:
    removed = StoredEntry(names.UPSTREAM_PREFIX + name, None, number)
    state.apply_changes((removed,), revision=number, now=now)


def _used(state: FleetState) -> set[str]:
    return {upstream.id for upstream in state.upstreams.values() if not upstream.leaving}


def _version(state: FleetState) -> int | None:
    return None if state.table is None else state.table.version


def test_a_removed_upstream_does_not_come_back_though_a_peer_told_of_the_return() -> None:
    peer, state = _state(), _state()
    known = (_configuration(1, number=1, era=0), _upstream("i-1", number=2, era=0))
    for each in (peer, state):
        each.install(_snapshot(80, *known, _upstream("i-2", number=3, era=0), era=0), now=0.0)
        _remove(each, "i-2", number=81, now=0.5)
    copy = _snapshot(
        20,
        _configuration(1, number=1, era=1),
        _upstream("i-1", number=2, era=1),
        _upstream("i-2", number=3, era=1),
        era=1,
    )
    peer.install(copy, now=1.0)
    state.install(peer.registered_snapshot(), now=1.5)
    state.install(copy, now=1.6)
    assert _used(state) == {"i-1"}


def test_a_removed_upstream_that_registers_again_is_used_after_a_full_read() -> None:
    state = _state()
    known = _configuration(1, number=1, era=0)
    state.install(_snapshot(80, known, _upstream("i-2", number=3, era=0), era=0), now=0.0)
    _remove(state, "i-2", number=81, now=0.5)
    known = _configuration(1, number=1, era=1)
    state.install(_snapshot(20, known, _upstream("i-2", number=3, era=1), era=1), now=1.0)
    assert _used(state) == set()
    state.install(_snapshot(30, known, _upstream("i-2", number=25, era=1), era=1), now=1.5)
    assert _used(state) == {"i-2"}


def test_a_removed_upstream_is_used_at_once_if_its_entry_is_newer_than_the_return() -> None:
    state = _state()
    known = _configuration(1, number=1, era=0)
    state.install(_snapshot(80, known, _upstream("i-2", number=3, era=0), era=0), now=0.0)
    _remove(state, "i-2", number=81, now=0.5)
    # From a gateway that withholds the copy's entry, and then from the store.
    known = _configuration(1, number=1, era=1)
    state.install(_snapshot(20, known, era=1), now=1.0)
    state.install(_snapshot(30, known, _upstream("i-2", number=25, era=1), era=1), now=1.5)
    assert _used(state) == {"i-2"}


def test_an_upstream_removed_and_registered_after_the_return_is_used() -> None:
    state = _state()
    known = _configuration(1, number=1, era=0)
    state.install(_snapshot(80, known, _upstream("i-2", number=3, era=0), era=0), now=0.0)
    known = _configuration(1, number=1, era=1)
    state.install(_snapshot(20, known, era=1), now=1.0)
    state.remove_expired(now=1.0 + RETURNED_WITHIN_SECONDS)
    state.install(_snapshot(30, known, _upstream("i-2", number=25, era=1), era=1), now=4.0)
    assert _used(state) == {"i-2"}


def test_the_configuration_does_not_go_back_though_a_peer_told_of_the_return() -> None:
    peer, follower, started = _state(), _state(), _state()
    for each in (peer, follower):
        each.install(_snapshot(80, _configuration(2, number=70, era=0), era=0), now=0.0)
    copy = _snapshot(20, _configuration(1, number=1, era=1), era=1)
    peer.install(copy, now=1.0)
    for each in (follower, started):
        each.install(peer.registered_snapshot(), now=1.5)
        each.install(copy, now=1.6)
        assert _version(each) == 2
    # What is written after the return is in force, whatever its version.
    follower.install(_snapshot(30, _configuration(1, number=25, era=1), era=1), now=2.0)
    assert _version(follower) == 1


def test_an_earlier_incarnation_of_an_upstream_does_not_come_back() -> None:
    state = _state()
    known = _upstream("i-1", number=70, era=0, born=2000)
    state.install(_snapshot(80, _configuration(1, number=1, era=0), known, era=0), now=0.0)
    draining = _upstream("i-1", number=50, era=1, born=1000, state=names.STATE_DRAINING)
    state.install(_snapshot(55, _configuration(1, number=1, era=1), draining, era=1), now=1.0)
    assert (_used(state), state.upstreams["i-1"].born) == ({"i-1"}, 2000)
    # It is gone if the store says so.
    removed = StoredEntry(names.UPSTREAM_PREFIX + "i-1", None, ordered_revision(60, era=1))
    state.apply_changes((removed,), revision=removed.mod_revision, now=4.0)
    assert not state.upstreams


def test_what_a_peer_keeps_only_for_a_while_is_removed_here_too() -> None:
    peer, state, started = _state(), _state(), _state()
    known = (_configuration(1, number=1, era=0), _upstream("i-1", number=2, era=0))
    for each in (peer, state):
        each.install(_snapshot(90, *known, _upstream("i-2", number=80, era=0), era=0), now=0.0)
    known = (_configuration(1, number=1, era=1), _upstream("i-1", number=2, era=1))
    peer.install(_snapshot(20, *known, era=1), now=1.0)
    for each in (state, started):
        each.install(peer.snapshot(), now=1.5)
        assert _used(each) == {"i-1", "i-2"}
        each.remove_expired(now=1.5 + RETURNED_WITHIN_SECONDS)
        assert _used(each) == {"i-1"}


def test_an_evacuation_that_the_copy_lacks_goes_on_through_a_second_read() -> None:
    state = _state()
    evacuation = StoredEntry(names.EVACUATION_PREFIX + "fes", b"{}", 70)
    state.install(_snapshot(80, _configuration(1, number=1, era=0), evacuation, era=0), now=0.0)
    known = _configuration(1, number=1, era=1)
    # A peer of an earlier version tells of the return, and knows no evacuations.
    state.install(FleetSnapshot(ordered_revision(20, era=1), (known,)), now=1.0)
    for number in (21, 22):
        state.install(_snapshot(number, known, era=1), now=1.2, removal_delay=1.8)
        assert state.evacuations.domains == {"fes"}
    state.remove_expired(now=3.0)
    assert not state.evacuations.domains
