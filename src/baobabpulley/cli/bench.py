"""``baobabpulley bench``: measurements on a local fleet of separate processes."""

from __future__ import annotations

from baobabpulley.cli.main import cli


@cli.group()
def bench() -> None:
    """Measure a local fleet of stand-in services; uses loopback addresses only."""
