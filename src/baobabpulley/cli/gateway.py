"""``baobabpulley gateway``."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from baobabpulley.cli.checked_settings import load_settings_or_exit
from baobabpulley.cli.main import cli
from baobabpulley.gateway.daemon import run_gateway
from baobabpulley.gateway.sections import GatewayNodeSection
from baobabpulley.logs import configure_json_line_logs
from baobabpulley.settings import LogsSection


@cli.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="BAOBABPULLEY_SETTINGS",
    required=True,
    help="Settings file (INI); by default the value of BAOBABPULLEY_SETTINGS.",
)
def gateway(path: Path) -> None:
    """Run a gateway, which forwards requests to upstreams by the operators' routes."""
    settings = load_settings_or_exit(path, daemon="gateway")
    configure_json_line_logs(settings.get(LogsSection), node=settings.get(GatewayNodeSection).id)
    asyncio.run(run_gateway(settings, path=path))
