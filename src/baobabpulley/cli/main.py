"""The ``baobabpulley`` command."""

from __future__ import annotations

from importlib import import_module
from typing import Final

import click

# Modules that add commands to `cli` when they are imported.
_COMMAND_MODULES: Final = (
    "daemons",
    "standins",
    "settings",
    "limits",
    "bench",
    "bench_control",
    "bench_converge",
    "bench_faults",
    "bench_gangs",
    "bench_mix",
    "report",
    "explain",
    "bench_once",
    "bench_path",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="baobabpulley")
def cli() -> None:
    """Serve prompts of very unlike lengths on one fleet of model engines.

    Exit codes: 0 done, 1 failed, 2 bad usage or bad settings.
    """


def main() -> None:
    """Run the command asked for."""
    load_commands()
    cli()


def load_commands() -> None:
    """Add all commands to `cli`."""
    for name in _COMMAND_MODULES:
        import_module(f"baobabpulley.cli.{name}")
