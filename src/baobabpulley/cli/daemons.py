"""``baobabpulley entry`` and ``baobabpulley keeper``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from baobabpulley.cli.main import cli
from baobabpulley.entry.daemon import run_entry
from baobabpulley.errors import EXIT_BAD_SETTINGS
from baobabpulley.errors import SettingsFault
from baobabpulley.keeper.daemon import run_keeper
from baobabpulley.settings import Settings
from baobabpulley.settings import load_settings

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
    """Serve callers and operators."""
    asyncio.run(run_entry(checked_settings(path, daemon="entry")))


@cli.command()
@_settings_file
def keeper(path: Path) -> None:
    """Keep settings, membership, reservations and orders for the entries of one VM."""
    asyncio.run(run_keeper(checked_settings(path, daemon="keeper")))


def checked_settings(path: Path, *, daemon: str) -> Settings:
    """Return checked settings, or print every fault and exit with code 2."""
    try:
        return load_settings(path, daemon=daemon)
    except SettingsFault as fault:
        click.echo(fault.message, err=True)
        click.echo(f"remedy: {fault.remedy}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
