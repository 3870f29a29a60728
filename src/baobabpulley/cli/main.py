"""The ``baobabpulley`` command."""

from __future__ import annotations

import signal
import sys
from importlib import import_module
from typing import Final

import click

# Modules that add commands to `cli` when they are imported.
_COMMAND_MODULES: Final = (
    "daemons",
    "gateway",
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
    "report_day",
    "explain",
    "bench_once",
    "bench_path",
)
# Commands that import only their own module: the others would cost each of these long-running
# processes start-up time and memory.
_SINGLE_MODULE_COMMANDS: Final = {
    "entry": "daemons",
    "gateway": "gateway",
    "keeper": "daemons",
    "standin": "standins",
}
# Commands that reload their settings on SIGHUP.
_RELOADING_COMMANDS: Final = frozenset({"gateway"})


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="baobabpulley")
def cli() -> None:
    """Serve prompts of widely differing lengths on one fleet of model engines.

    Exit codes: 0 success, 1 failure, 2 invalid usage or settings.
    """


def main() -> None:
    """Run the command that the arguments name."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command in _RELOADING_COMMANDS:
        # A signal that comes before the command handles it must not end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    module = _SINGLE_MODULE_COMMANDS.get(command)
    load_commands(*filter(None, [module]))
    cli()


def load_commands(*names: str) -> None:
    """Add the commands of the named modules to `cli`, or of all modules if none is named."""
    for name in names or _COMMAND_MODULES:
        import_module(f"baobabpulley.cli.{name}")
