"""``baobabpulley limits get`` and ``limits raise``: the operators' API from the command line."""

from __future__ import annotations

import asyncio
import secrets
import sys
from typing import Any
from typing import Final

import click
import msgspec

from baobabpulley.adapters.http_client import HttpClient
from baobabpulley.adapters.http_client import fetch
from baobabpulley.cli.main import cli
from baobabpulley.decoding import DECODE_ERRORS
from baobabpulley.errors import EXIT_FAILED
from baobabpulley.errors import BaobabError
from baobabpulley.model.limits import Limit

REQUEST_TIMEOUT_SECONDS: Final = 30.0

_entry = click.option("--entry", required=True, help="ip:port of an entry.")
_token = click.option("--token", required=True, envvar="BAOBAB_TOKEN", help="Operator's token.")
_team = click.argument("team")


@cli.group()
def limits() -> None:
    """Show or raise a team's limit."""


@limits.command()
@_entry
@_token
@_team
def get(entry: str, token: str, team: str) -> None:
    """Print the limit that is in force for TEAM."""
    _print_response(_call(entry, token, "GET", f"/v1/teams/{team}/limit"))


@limits.command("raise")
@_entry
@_token
@_team
@click.option("--max-prompt-tokens", type=int, required=True)
@click.option("--max-tokens-in-flight", type=int, required=True)
@click.option(
    "--change-id", default="", help="Id of an earlier change to repeat; a new id by default."
)
def raise_(
    entry: str,
    token: str,
    team: str,
    max_prompt_tokens: int,
    max_tokens_in_flight: int,
    change_id: str,
) -> None:
    """Raise the limit of TEAM; exit with 1 if it is refused or its outcome is unknown."""
    change_id = change_id or secrets.token_hex(16)
    click.echo(f"change id {change_id}", err=True)
    body = msgspec.json.encode(Limit(max_prompt_tokens, max_tokens_in_flight))
    path = f"/v1/teams/{team}/limit"
    _print_response(_call(entry, token, "PUT", path, body=body, change_id=change_id))


def _call(
    entry: str, token: str, method: str, path: str, *, body: bytes = b"", change_id: str = ""
) -> dict[str, Any]:
    headers = {"Authorization": f"Bearer {token}"}
    if change_id:
        headers["X-Change-Id"] = change_id
    try:
        _, response = asyncio.run(
            fetch(
                HttpClient(),
                address=entry,
                method=method,
                path=path,
                body=body,
                headers=headers,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
        )
        return msgspec.json.decode(response, type=dict[str, Any])
    except (BaobabError, *DECODE_ERRORS) as error:
        click.echo(f"{entry}: {error}; try another entry with the same change id", err=True)
        sys.exit(EXIT_FAILED)


def _print_response(document: dict[str, Any]) -> None:
    error = document.get("error")
    if error is not None:
        click.echo(f"{error['code']}: {error['message']}", err=True)
        click.echo(f"remedy: {error['remedy']}", err=True)
        sys.exit(EXIT_FAILED)
    click.echo(msgspec.json.encode(document).decode())
