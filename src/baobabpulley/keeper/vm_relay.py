"""Read the platform's VM list, or receive it from the keepers that read it.

The watchers, which are the keepers that hold the watch on the settings, read the list. The others
pull settings from them, and each reply includes the rows that changed. A keeper that has not
received a recently read list reads the list itself.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final
from typing import cast
from typing import final

import msgspec
from xxhash import xxh3_64_intdigest

from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.model.settings_messages import VmListDelta
from baobabpulley.model.upstreams import Vm

# A keeper reads the list itself once the relayed list is older than this.
MAX_RELAYED_AGE_SECONDS: Final = 3.0
MAX_VERSIONS: Final = 16

Rows = dict[str, Vm]


@keeper_parts.register("vm_relay")
@final
class VmRelay(KeeperPart):
    """Rows that this failure domain needs: its own VMs, and the entry VMs of all domains."""

    __slots__ = ("_context", "_digest", "_last_rows", "_read_at", "_versions")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._digest = 0
        self._last_rows: tuple[Vm, ...] | None = None
        self._read_at = float("-inf")
        self._versions: OrderedDict[int, Rows] = OrderedDict()

    async def start(self) -> None:
        return

    @property
    def digest(self) -> int:
        """Digest of the current rows, 0 before the first list."""
        return self._digest

    @property
    def age(self) -> float:
        """Model seconds since the list was read, by this keeper or by the one that relayed it."""
        return self._context.timers.now() - self._read_at

    async def refresh(self, *, is_watcher: bool) -> None:
        """Read the list if this keeper is a watcher, or if the relayed list is too old.

        Raises `StoreUnavailable` if the platform does not respond.
        """
        if not is_watcher and self.age <= MAX_RELAYED_AGE_SECONDS:
            return
        # The time of the request, since the list may be as old as that.
        requested_at = self._context.timers.now()
        self._install(await self._context.vm_list.read(), read_at=requested_at)

    def _install(self, rows: tuple[Vm, ...], *, read_at: float) -> None:
        if read_at <= self._read_at:
            return
        self._read_at = read_at
        if rows is self._last_rows:
            return
        domain = self._context.node.failure_domain
        self._set({vm.id: vm for vm in rows if vm.role == "entry" or vm.failure_domain == domain})
        self._last_rows = rows

    def delta_since(self, known: int) -> VmListDelta | None:
        """Return the difference from the rows with digest ``known``, ``None`` without a list.

        The requester must be a keeper of the same failure domain.
        """
        if not self._digest:
            return None
        if known == self._digest:
            return VmListDelta(digest=known, since=known, age=self.age)
        rows, before = self._versions[self._digest], self._versions.get(known)
        if before is None:
            return VmListDelta(digest=self._digest, age=self.age, rows=tuple(rows.values()))
        return VmListDelta(
            digest=self._digest,
            since=known,
            age=self.age,
            rows=tuple(vm for id, vm in rows.items() if before.get(id) != vm),
            removed=tuple(id for id in before if id not in rows),
        )

    def receive(self, delta: VmListDelta) -> None:
        """Apply the rows that a peer relays if they were read later than the current ones."""
        read_at = self._context.timers.now() - delta.age
        if read_at <= self._read_at or delta.since not in (0, self._digest):
            return
        if delta.digest != self._digest:
            rows = dict(self._versions[self._digest]) if delta.since else {}
            rows.update((vm.id, vm) for vm in delta.rows)
            for id in delta.removed:
                rows.pop(id, None)
            self._set(rows)
        self._read_at = read_at

    def _set(self, rows: Rows) -> None:
        ordered = {id: rows[id] for id in sorted(rows)}
        self._last_rows = None
        self._digest = xxh3_64_intdigest(msgspec.msgpack.encode(ordered)) or 1
        self._versions[self._digest] = ordered
        self._versions.move_to_end(self._digest)
        while len(self._versions) > MAX_VERSIONS:
            self._versions.popitem(last=False)
        self._context.view.set_vms(tuple(ordered.values()))


def vm_relay_of(context: KeeperContext) -> VmRelay:
    """Return the VM relay of a keeper."""
    return cast(VmRelay, context.parts["vm_relay"])
