"""``baobabpulley entry`` and ``baobabpulley keeper``."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from baobabpulley.cli.checked_settings import load_settings_or_exit
from baobabpulley.cli.main import cli
from baobabpulley.entry.daemon import run_entry
from baobabpulley.keeper.daemon import run_keeper

_settings_file = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="Settings file (INI).",
)


@cli.command()
@_settings_file
def entry(path: Path) -> None:
    """Run an entry, which serves the HTTP requests of callers and operators."""
    asyncio.run(run_entry(load_settings_or_exit(path, daemon="entry")))


@cli.command()
@_settings_file
def keeper(path: Path) -> None:
    """Run the keeper of a VM, which serves the entries there.

    It keeps their settings, the fleet's membership and reservations, and issues orders to engines.
    """
    asyncio.run(run_keeper(load_settings_or_exit(path, daemon="keeper")))
