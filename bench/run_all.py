"""Run every bench once, one after another, and write the output of each to a folder."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Final

import click

BENCHES: Final = {
    "path": ("--seconds", "6"),
    "converge": ("--seed", "0"),
    "control": ("--settle", "8", "--window", "12"),
    "mix": ("--seconds", "60", "--speed", "1", "--seed", "1"),
    "overload": ("--seconds", "20", "--speed", "1.5", "--seed", "1"),
    "once": ("--orders", "1000", "--speed", "4", "--seed", "1"),
    "gangs": ("--count", "2", "--engines", "6", "--speed", "8", "--seed", "1"),
}


@click.command()
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("out"),
    help="Folder for the output.",
)
@click.option("--only", multiple=True, type=click.Choice(sorted(BENCHES)), help="Run just these.")
def main(out: Path, only: tuple[str, ...]) -> None:
    """Run the benches; exit with code 1 if one of them failed."""
    out.mkdir(parents=True, exist_ok=True)
    failed = [name for name in BENCHES if name in (only or BENCHES) and not run_bench(name, out)]
    for name in failed:
        click.echo(f"{name} failed; see {out / name}.txt", err=True)
    sys.exit(1 if failed else 0)


def run_bench(name: str, out: Path) -> bool:
    """Run one bench and return whether it succeeded."""
    click.echo(f"bench {name} ...")
    command = [sys.executable, "-m", "baobabpulley", "bench", name, *BENCHES[name]]
    with (out / f"{name}.txt").open("w", encoding="utf-8") as output:
        return subprocess.run(command, stdout=output, stderr=output, check=False).returncode == 0


if __name__ == "__main__":
    main()
