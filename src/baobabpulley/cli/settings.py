"""``baobabpulley settings check``: validation of settings files."""

from __future__ import annotations

from pathlib import Path

import click

from baobabpulley.cli.checked_settings import load_settings_or_exit
from baobabpulley.cli.main import cli


@cli.group()
def settings() -> None:
    """Work with settings files."""


@settings.command()
@click.argument("path", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--daemon", type=click.Choice(["entry", "keeper"]), required=True)
def check(path: Path, daemon: str) -> None:
    """Check a settings file; print every error, and exit with code 2 if there is one."""
    load_settings_or_exit(path, daemon=daemon)
    click.echo(f"{path}: no faults")
