"""Builder of keepers in the test process, configured by a settings file like the daemon."""

from __future__ import annotations

from pathlib import Path

from baobabpulley.keeper.context import KeeperContext
from baobabpulley.keeper.daemon import build_keeper
from baobabpulley.settings import load_settings

HOST = "127.0.0.1"
UNREACHABLE_ADDRESS = f"{HOST}:9"

_SETTINGS = """
[node]
id = {vm}
vm = {vm}
failure_domain = {domain}
http = {unreachable}
speed = {speed}
[peers]
secret = a-secret-for-tests-only
[keeper]
address = {address}
store = {unreachable}
vm_list = {unreachable}
also_reached_at = {proxies}
"""


def make_keeper(
    directory: Path,
    *,
    vm: str,
    domain: str,
    address: str,
    speed: float,
    proxies: tuple[str, ...] = (),
) -> KeeperContext:
    """Return a keeper that is not started and whose store and VM list are unreachable."""
    path = directory / f"{vm}.ini"
    text = _SETTINGS.format(
        vm=vm,
        domain=domain,
        unreachable=UNREACHABLE_ADDRESS,
        speed=speed,
        address=address,
        proxies=" ".join(proxies),
    )
    path.write_text(text, encoding="utf-8")
    return build_keeper(load_settings(path, daemon="keeper"))
