"""Plan the load and unload orders that move a failure domain towards its model settings.

A model belongs on the first engines of its rendezvous ranking; its ``share`` gives their number.
An engine that is loading a model does not count as serving it. An engine that serves an outdated
version is updated only while enough engines keep serving the model: if there is an engine beyond
the share, it loads the new version first. If the share covers every engine, they are updated one at
a time, and each keeps serving its old version if the engine supports that. Models without a
settings document are left alone.
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
REASON_SPARE: Final = "loads the new version before an engine that serves the old one"
REASON_SURPLUS: Final = "beyond the share"


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order that is due, and the reason for it."""

    kind: str
    upstream: str
    model: str
    version: str
    adapters: tuple[str, ...]
    reason: str


def plan_orders(
    models: Mapping[str, ModelDocument], engines: Mapping[str, Sequence[EngineState]]
) -> tuple[PlannedOrder, ...]:
    """Return the orders that may be sent now.

    ``engines`` are all known engines by service; only live engines get orders.
    """
    orders: list[PlannedOrder] = []
    for model in sorted(models):
        document = models[model]
        live = [state for state in engines.get(document.service, ()) if state.state == "live"]
        orders += _ModelPlan(model, document, live).orders()
    return tuple(orders)


@final
class _ModelPlan:
    """The placement of one model on the live engines of its service."""

    __slots__ = ("_document", "_model", "_ranking", "_states", "_target")

    def __init__(self, model: str, document: ModelDocument, engines: Sequence[EngineState]) -> None:
        self._model = model
        self._document = document
        self._states = {state.upstream: state for state in engines}
        self._ranking = ranked(model, self._states)
        # The tolerance keeps a rounding error from adding an engine.
        self._target = math.ceil(document.share * len(self._states) - 1e-9)

    def orders(self) -> list[PlannedOrder]:
        chosen = self._ranking[: self._target]
        missing = [id for id in chosen if self._is_missing(id)]
        loads = [self._order(LOAD, id, REASON_MISSING) for id in missing]
        return loads + self._updates(chosen) + self._unloads(chosen)

    def _updates(self, chosen: tuple[str, ...]) -> list[PlannedOrder]:
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
