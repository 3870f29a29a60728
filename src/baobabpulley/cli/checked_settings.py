"""Loading of settings files for commands, with every error printed."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from baobabpulley.errors import EXIT_BAD_SETTINGS
from baobabpulley.errors import InvalidSettings
from baobabpulley.settings import Settings
from baobabpulley.settings import load_settings


def load_settings_or_exit(path: Path, *, daemon: str) -> Settings:
    """Return validated settings, or print every error and exit with code 2."""
    try:
        return load_settings(path, daemon=daemon)
    except InvalidSettings as error:
        click.echo(error.message, err=True)
        click.echo(f"remedy: {error.remedy}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
