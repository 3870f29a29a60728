"""Read the journals of a local fleet's stand-ins: the requests received and the memory held."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any
from typing import Final

from baobabpulley.emulator.fleet import ENGINE_SERVICE
from baobabpulley.emulator.fleet import PLAIN_SERVICE
from baobabpulley.emulator.fleet import Fleet
from baobabpulley.errors import UpstreamUnreachable
from baobabpulley.model.upstreams import Vm

# Model seconds within which engines must release all memory after any fault.
MEMORY_RELEASE_TIMEOUT_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.05


def engines(fleet: Fleet) -> list[Vm]:
    """Return the VM list rows of all engines."""
    return [vm for vm in fleet.vms if vm.service == ENGINE_SERVICE]


def services(fleet: Fleet) -> list[Vm]:
    """Return the VM list rows of all plain services."""
    return [vm for vm in fleet.vms if vm.service == PLAIN_SERVICE]


async def journals(fleet: Fleet, vms: list[Vm] | None = None) -> dict[str, dict[str, Any]]:
    """Return the journals by VM id of all engines, or of ``vms``; skip VMs that are unreachable."""
    journal_by_vm = {}
    for vm in engines(fleet) if vms is None else vms:
        # An engine that is still starting holds no memory.
        with contextlib.suppress(UpstreamUnreachable):
            journal_by_vm[vm.id] = await fleet.request(vm.address, "GET", "/journal")
    return journal_by_vm


async def wait_for_memory_release(
    fleet: Fleet, *, timeout: float = MEMORY_RELEASE_TIMEOUT_SECONDS
) -> dict[str, int]:
    """Wait until no engine holds memory, at most ``timeout`` model seconds; return what is held."""
    end = time.monotonic() + timeout / fleet.plan.speed
    while True:
        held = {name: journal["held"] for name, journal in (await journals(fleet)).items()}
        held = {name: tokens for name, tokens in held.items() if tokens}
        if not held or time.monotonic() > end:
            return held
        await asyncio.sleep(POLL_SECONDS)
