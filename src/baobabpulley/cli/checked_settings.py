"""Settings files as daemons load them: checked, with every fault told at once."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from baobabpulley.errors import EXIT_BAD_SETTINGS
from baobabpulley.errors import InvalidSettings
from baobabpulley.settings import Settings
from baobabpulley.settings import load_settings


def load_settings_or_exit(path: Path, *, daemon: str) -> Settings:
    """Return checked settings, or print every fault and exit with code 2."""
    try:
        return load_settings(path, daemon=daemon)
    except InvalidSettings as fault:
        click.echo(fault.message, err=True)
        click.echo(f"remedy: {fault.remedy}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
