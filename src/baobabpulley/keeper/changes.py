"""Handle requests for settings changes, which entries forward from operators."""

from __future__ import annotations

from typing import cast
from typing import final

import msgspec

from baobabpulley.keeper.change_writer import ChangeWriter
from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.context import KeeperPart
from baobabpulley.keeper.context import keeper_parts
from baobabpulley.keeper.settings_relay import SettingsRelay
from baobabpulley.model.settings_messages import RaiseLimit
from baobabpulley.model.settings_messages import ResolveChange
from baobabpulley.model.settings_messages import WriteDocument
from baobabpulley.policy.commitments import CommitmentCapacity
from baobabpulley.policy.commitments import commitment_capacity
from baobabpulley.settings import Count
from baobabpulley.settings import section


@section("promises", "keeper")
class CommitmentsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity for limit commitments.

    ``tokens_per_entry_vm`` is the number of prompt tokens in flight that one entry VM can serve.
    """

    tokens_per_entry_vm: Count = 16_000_000


@keeper_parts.register("settings_changes")
@final
class SettingsChanges(KeeperPart):
    """Handle change requests; a retry with the same change id has no further effect."""

    __slots__ = ("_context", "_section", "_writer")

    def __init__(self, context: KeeperContext) -> None:
        self._context = context
        self._section = context.settings.get(CommitmentsSection)
        self._writer = ChangeWriter(
            store=context.store,
            settings_state=context.view.settings_state,
            capacity=self._commitment_capacity,
            timers=context.timers,
            seed=context.node.id,
        )

    @property
    def writer(self) -> ChangeWriter:
        """Writer of this keeper's changes."""
        return self._writer

    async def start(self) -> None:
        self._context.peers.register_handler(RaiseLimit, self._handle_raise_limit)
        self._context.peers.register_handler(WriteDocument, self._handle_write_document)
        self._context.peers.register_handler(ResolveChange, self._handle_resolve_change)

    def _commitment_capacity(self) -> CommitmentCapacity:
        relay = cast(SettingsRelay, self._context.parts["settings_relay"])
        return commitment_capacity(
            relay.capacity.domains, tokens_per_entry_vm=self._section.tokens_per_entry_vm
        )

    async def _handle_raise_limit(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        return await self._writer.raise_limit(cast(RaiseLimit, message))

    async def _handle_write_document(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        return await self._writer.write_document(cast(WriteDocument, message))

    async def _handle_resolve_change(self, message: msgspec.Struct, sender: str) -> msgspec.Struct:
        del sender
        return await self._writer.resolve(cast(ResolveChange, message))
