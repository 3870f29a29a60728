"""Which orders bring the engines of a failure domain nearer to what the settings ask for.

A model belongs on the first engines of its rendezvous ranking, as many as its share asks for.
An engine that is loading a model counts as not serving it. Engines that serve an outdated
version are renewed only while the failure domain keeps its share loaded: an engine beyond the
share takes the new version first where there is one. If the share takes every engine, one at a
time is renewed, and goes on serving its old version as far as the engine itself allows.
Models that no document names are left alone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec

from baobabpulley.model.documents import ModelDocument
from baobabpulley.policy.rendezvous import ranked
from baobabpulley.ports.engine import EngineState

LOAD: Final = "load"
UNLOAD: Final = "unload"

REASON_MISSING: Final = "missing"
REASON_OUTDATED: Final = "outdated"
REASON_SPARE: Final = "takes the new version before an engine that serves the old one"
REASON_SURPLUS: Final = "beyond the share"


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order that is due; ``reason`` says why."""

    kind: str
    upstream: str
    model: str
    version: str
    adapters: tuple[str, ...]
    reason: str


def plan_orders(
    models: Mapping[str, ModelDocument], engines: Mapping[str, Sequence[EngineState]]
) -> tuple[PlannedOrder, ...]:
    """Return the orders that may be given now; ``engines`` are the live ones by service."""
    orders: list[PlannedOrder] = []
    for model in sorted(models):
        document = models[model]
        fit = [state for state in engines.get(document.service, ()) if state.state == "live"]
        orders += _ModelPlan(model, document, fit).orders()
    return tuple(orders)


@final
class _ModelPlan:
    """The placement of one model over the live engines of its service."""

    __slots__ = ("_document", "_model", "_ranking", "_states", "_target")

    def __init__(self, model: str, document: ModelDocument, engines: Sequence[EngineState]) -> None:
        self._model = model
        self._document = document
        self._states = {state.upstream: state for state in engines}
        self._ranking = ranked(model, self._states)
        self._target = math.ceil(document.share * len(self._states) - 1e-9)

    def orders(self) -> list[PlannedOrder]:
        chosen = self._ranking[: self._target]
        missing = [id for id in chosen if self._is_missing(id)]
        loads = [self._order(LOAD, id, REASON_MISSING) for id in missing]
        return loads + self._renewals(chosen) + self._unloads(chosen)

    def _renewals(self, chosen: tuple[str, ...]) -> list[PlannedOrder]:
        outdated = [id for id in chosen if self._is_outdated(id)]
        if not outdated:
            return []
        serving = sum(1 for id in self._ranking if self._serves(id))
        spare = serving - self._target
        if spare > 0:
            return [self._order(LOAD, id, REASON_OUTDATED) for id in outdated[:spare]]
        outside = self._ranking[self._target :]
        if any(self._is_loading(id) for id in self._ranking):
            return []
        for id in outside:
            if not self._is_current(id):
                return [self._order(LOAD, id, REASON_SPARE)]
        if not outside and serving == len(self._ranking):
            return [self._order(LOAD, outdated[0], REASON_OUTDATED)]
        return []

    def _unloads(self, chosen: tuple[str, ...]) -> list[PlannedOrder]:
        if not all(self._is_current(id) for id in chosen):
            return []
        return [
            self._order(UNLOAD, id, REASON_SURPLUS)
            for id in self._ranking[self._target :]
            if self._serves(id)
        ]

    def _is_loading(self, id: str) -> bool:
        return self._model in self._states[id].loading

    def _serves(self, id: str) -> bool:
        return self._model in self._states[id].models and not self._is_loading(id)

    def _is_missing(self, id: str) -> bool:
        return self._model not in self._states[id].models and not self._is_loading(id)

    def _is_current(self, id: str) -> bool:
        state = self._states[id]
        if not self._serves(id) or state.models[self._model] != self._document.version:
            return False
        return state.adapters.get(self._model, ()) == self._document.adapters

    def _is_outdated(self, id: str) -> bool:
        return self._serves(id) and not self._is_current(id)

    def _order(self, kind: str, id: str, reason: str) -> PlannedOrder:
        return PlannedOrder(
            kind=kind,
            upstream=id,
            model=self._model,
            version=self._document.version,
            adapters=self._document.adapters,
            reason=reason,
        )
